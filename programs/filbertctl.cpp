/** @file filbertctl: the command-line client for operators and job submitters. */

#include "filbertctl_commands.h"

#include "filbert_core/filbert_core.h"

#include <gflags/gflags.h>
#include <iostream>

namespace {

constexpr int exitUsage = 2;

constexpr const char *usage = R"(filbertctl COMMAND [ARGUMENTS] [FLAGS]

Operators:
  keys make ID             make a key: the token for its holder and the lines for the file
  keys site FOLDER C=IP:PORT... G...
                           CURVE keys for controllers C and gateways G, a file each
  keys tls FOLDER H=IP...  TLS certificates for hosts H, and the authority that signs them
  check FILE...            check configuration files without sending them
  diff FILE...             show what 'apply' would change
  apply FILE...            make the files the whole configuration; --wait until it is in force
  status                   teams against share and limit, queues, targets, gateways
  audit                    the trail of changes
  members list             the controllers
  members add ADDRESS      add a controller (tcp IP:port); needs --identity and --member_name
  members remove IDENTITY  remove a controller
  members replace OLD IP:PORT
                           put a new controller (--identity) in an old one's place; give the same
                           command again if it was cut off
  hold JOB | release JOB   hold a job, or let it go on
Submitters:
  call SERVICE             send a synchronous request; body from --body
  submit                   hand in a job: --queue, --service, --tasks, ...
  show JOB | explain JOB   a job, and why it waits
  list                     the team's jobs
  wait JOB                 until the job has ended
  cancel JOB               stop a job

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or file, 3 no gateway answered,
4 the outcome is unknown.
Every flag can be given as an environment variable, e.g. FILBERT_KEY.)";

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
