#include "ctl_answers.h"
#include "filbertctl_commands.h"

#include "filbert_core/filbert_core.h"

#include <chrono>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_int32(wait_ms, 30'000, "longest time to wait");
DEFINE_string(body, "", "body of a request");
DEFINE_string(idempotency_key, "", "the request runs at most once under this key");
DEFINE_int32(deadline_ms, 0, "deadline of a request; 0 = the service's own");
DEFINE_string(queue, "", "queue of a job");
DEFINE_string(service, "", "service whose targets run a job");
DEFINE_string(job_name, "", "name of a job, for learning its size");
DEFINE_int32(tasks, 1, "tasks of a job");
DEFINE_int32(milli_cores, 1'000, "of one task");
DEFINE_int32(memory_mb, 512, "of one task");
DEFINE_int32(accelerators, 0, "of one task");
DEFINE_bool(idempotent, false, "the job's tasks may run again after a failure");
DEFINE_string(payload, "", "what a job's tasks are given");

namespace filbert {

namespace {

std::vector<http_header> workHeaders()
{
    std::vector<http_header> headers;
    if (!FLAGS_idempotency_key.empty()) {
        headers.push_back({"idempotency-key", FLAGS_idempotency_key});
    }
    if (FLAGS_deadline_ms > 0) {
        headers.push_back({"filbert-deadline-ms", std::to_string(FLAGS_deadline_ms)});
    }
    return headers;
}

void printJob(const messages::job_status &job)
{
    std::cout << "job " << job.id() << " " << job.state() << ": " << job.tasks() << " tasks, "
              << job.waiting() << " waiting, " << job.running() << " running, " << job.succeeded()
              << " succeeded, " << job.failed() << " failed, " << job.cancelled() << " cancelled, "
              << job.unknown() << " unknown\n";
}

int changeJob(const std::string &method, const words &arguments, const std::string &suffix)
{
    if (arguments.size() != 1) {
        std::cerr << "expected the number of a job\n";
        return exitUsage;
    }
    return report(askGateway(method, "/v1/jobs/" + arguments[0] + suffix, "", {}));
}

} // namespace

int callService(const words &arguments)
{
    if (arguments.size() != 1) {
        std::cerr << "expected: call SERVICE\n";
        return exitUsage;
    }
    const auto answer =
        askGateway("POST", "/v1/services/" + arguments[0], FLAGS_body, workHeaders());
    if (const int code = report(answer)) {
        return code;
    }
    std::cout << answer.body << "\n";
    return exitDone;
}

int submitJob(const words & /*arguments*/)
{
    messages::submit_body body;
    body.set_queue(FLAGS_queue);
    body.set_service(FLAGS_service);
    body.set_name(FLAGS_job_name);
    body.set_tasks(FLAGS_tasks);
    body.mutable_task()->set_milli_cores(FLAGS_milli_cores);
    body.mutable_task()->set_memory_mb(FLAGS_memory_mb);
    body.mutable_task()->set_accelerators(FLAGS_accelerators);
    body.set_idempotent(FLAGS_idempotent);
    body.set_payload(FLAGS_payload);
    const auto answer = askGateway("POST", "/v1/jobs", writeJson(body), workHeaders());
    if (const int code = report(answer)) {
        return code;
    }
    messages::job_reply reply;
    std::string detail;
    readJson(answer.body, &reply, &detail);
    if (isJson()) {
        return printJson(reply);
    }
    std::cout << reply.job().id() << "\n";
    return exitDone;
}

int showJob(const words &arguments)
{
    messages::job_status job;
    if (arguments.size() != 1) {
        std::cerr << "expected the number of a job\n";
        return exitUsage;
    }
    if (const int code = fetch("/v1/jobs/" + arguments[0], &job)) {
        return code;
    }
    if (isJson()) {
        return printJson(job);
    }
    printJob(job);
    if (!job.reason().empty()) {
        std::cout << "  " << job.reason() << "\n";
    }
    if (job.position() > 0) {
        std::cout << "  place " << job.position() << " in its team's line, for " << job.waiting_ms()
                  << " ms\n";
    }
    return exitDone;
}

int listJobs(const words & /*arguments*/)
{
    messages::job_list list;
    if (const int code = fetch("/v1/jobs", &list)) {
        return code;
    }
    if (isJson()) {
        return printJson(list);
    }
    for (const auto &job : list.jobs()) {
        printJob(job);
    }
    return exitDone;
}

int waitJob(const words &arguments)
{
    const auto until = monotonicNow() + milliseconds {FLAGS_wait_ms};
    std::string last;
    while (arguments.size() == 1 && monotonicNow() < until) {
        messages::job_status job;
        const int code = fetch("/v1/jobs/" + arguments[0], &job);
        if (code == exitRefused) {
            return code;
        }
        const auto line =
            job.state() + " " + std::to_string(job.succeeded()) + "/" + std::to_string(job.tasks());
        if (line != last && code == exitDone) {
            std::cerr << line << "\n";
            last = line;
        }
        const bool hasEnded = code == exitDone && job.waiting() == 0 && job.running() == 0;
        if (hasEnded) {
            printJob(job);
            return job.state() == "succeeded" ? exitDone
                                              : (job.unknown() > 0 ? exitUnknown : exitRefused);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds {pollMs});
    }
    std::cerr << "not ended\n";
    return exitUnknown;
}

int cancelJob(const words &arguments)
{
    return changeJob("DELETE", arguments, "");
}

int holdJob(const words &arguments)
{
    return changeJob("POST", arguments, "/hold");
}

int releaseJob(const words &arguments)
{
    return changeJob("POST", arguments, "/release");
}

} // namespace filbert
