/** @file filbertctl: the command-line client for operators and job submitters. */

#include "filbertctl_commands.h"

#include "filbert_core/filbert_core.h"

#include <gflags/gflags.h>
#include <iostream>

namespace {

constexpr int exitUsage = 2;

constexpr const char *usage = R"(filbertctl COMMAND [ARGUMENTS] [FLAGS]

Operators:
  keys make ID             create an access key: its holder's token and its configuration entry
  keys site FOLDER C=IP:PORT... G...
                           CURVE keys for controllers C and gateways G, one file each
  keys tls FOLDER H=IP...  TLS certificates for hosts H and the authority that signs them
  check FILE...            check configuration files without sending them
  diff FILE...             show what 'apply' would change
  apply FILE...            replace the whole configuration with these files; with --wait, wait
                           until it is in force
  status                   teams with their shares and usage, queues, targets and gateways
  audit                    the audit trail of configuration changes
  members list             the controllers and their roles
  members add IP:PORT      add a controller; needs --identity and --member_name
  members remove IDENTITY  remove a controller
  members replace OLD IP:PORT
                           replace controller OLD with a new one (--identity); run the same command
                           again if it was interrupted
  hold JOB | release JOB   hold a job, or release a held one
Submitters:
  call SERVICE             send a synchronous request; --body is its body
  submit                   submit a job: --queue, --service, --tasks, ...
  show JOB | explain JOB   the state of a job, and why it is waiting
  list                     the team's jobs
  wait JOB                 wait until the job has ended
  cancel JOB               cancel a job

Exit codes: 0 success, 1 refused or failed, 2 invalid usage or file, 3 no gateway answered,
4 outcome unknown.
Every flag can also be set by an environment variable, for example FILBERT_KEY for --key.)";

} // namespace

int main(int argc, char **argv)
{
    using namespace filbert;
    settings_check check {readSettings(&argc, &argv, usage)};
    startLog(argv[0]);
    if (!check.isValid()) {
        return exitUsage;
    }
    const std::vector<std::string> arguments {argv + 1, argv + argc};
    if (arguments.empty()) {
        std::cerr << usage << "\n";
        return exitUsage;
    }
    return runCommand(arguments);
}
