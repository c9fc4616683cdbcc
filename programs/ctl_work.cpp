#include "ctl_answers.h"
#include "filbertctl_commands.h"

#include "filbert_core/filbert_core.h"

#include <chrono>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_int32(wait_ms, 30'000, "maximum time that a command waits, in milliseconds");
DEFINE_string(body, "", "body of the request");
DEFINE_string(idempotency_key, "", "key under which the request runs at most once");
DEFINE_int32(deadline_ms, 0,
             "deadline of the request in milliseconds; 0 = the deadline of the service");
DEFINE_string(queue, "", "queue of the job");
DEFINE_string(service, "", "service whose targets run the job");
DEFINE_string(job_name, "", "name of the job; its resource needs are learned under this name");
DEFINE_int32(tasks, 1, "number of tasks of the job");
DEFINE_int32(milli_cores, 1'000, "thousandths of a CPU core per task");
DEFINE_int32(memory_mb, 512, "memory per task, in MB");
DEFINE_int32(accelerators, 0, "accelerators per task");
DEFINE_bool(idempotent, false, "whether the job's tasks may run again after a failure");
DEFINE_string(payload, "", "payload that is passed to each of the job's tasks");

namespace filbert {

namespace {

std::vector<http_header> requestHeaders()
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

int changeJob(const std::string &method, const argument_list &arguments, const std::string &suffix)
{
    if (arguments.size() != 1) {
        std::cerr << "expected: the id of one job\n";
        return exitUsage;
    }
    return reportFailure(sendRequest(method, "/v1/jobs/" + arguments[0] + suffix, "", {}));
}

} // namespace

int callService(const argument_list &arguments)
{
    if (arguments.size() != 1) {
        std::cerr << "expected: call SERVICE\n";
        return exitUsage;
    }
    const auto response =
        sendRequest("POST", "/v1/services/" + arguments[0], FLAGS_body, requestHeaders());
    if (const int code = reportFailure(response)) {
        return code;
    }
    std::cout << response.body << "\n";
    return exitSuccess;
}

int submitJob(const argument_list & /*arguments*/)
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
    const auto response = sendRequest("POST", "/v1/jobs", writeJson(body), requestHeaders());
    if (const int code = reportFailure(response)) {
        return code;
    }
    messages::job_reply reply;
    std::string detail;
    readJson(response.body, &reply, &detail);
    if (isJson()) {
        return printJson(reply);
    }
    std::cout << reply.job().id() << "\n";
    return exitSuccess;
}

int showJob(const argument_list &arguments)
{
    messages::job_status job;
    if (arguments.size() != 1) {
        std::cerr << "expected: the id of one job\n";
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
        std::cout << "  position " << job.position() << " among its team's waiting jobs, for "
                  << job.waiting_ms() << " ms\n";
    }
    return exitSuccess;
}

int listJobs(const argument_list & /*arguments*/)
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
    return exitSuccess;
}

int waitJob(const argument_list &arguments)
{
    const auto deadline = monotonicNow() + milliseconds {FLAGS_wait_ms};
    std::string lastLine;
    while (arguments.size() == 1 && monotonicNow() < deadline) {
        messages::job_status job;
        const int code = fetch("/v1/jobs/" + arguments[0], &job);
        if (code == exitRefused) {
            return code;
        }
        const auto line =
            job.state() + " " + std::to_string(job.succeeded()) + "/" + std::to_string(job.tasks());
        if (line != lastLine && code == exitSuccess) {
            std::cerr << line << "\n";
            lastLine = line;
        }
        const bool hasEnded = code == exitSuccess && job.waiting() == 0 && job.running() == 0;
        if (hasEnded) {
            printJob(job);
            return job.state() == "succeeded" ? exitSuccess
                                              : (job.unknown() > 0 ? exitUnknown : exitRefused);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds {pollMs});
    }
    std::cerr << "timed out before the job ended\n";
    return exitUnknown;
}

int cancelJob(const argument_list &arguments)
{
    return changeJob("DELETE", arguments, "");
}

int holdJob(const argument_list &arguments)
{
    return changeJob("POST", arguments, "/hold");
}

int releaseJob(const argument_list &arguments)
{
    return changeJob("POST", arguments, "/release");
}

} // namespace filbert
