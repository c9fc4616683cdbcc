#include "event_loop.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace filbert {

namespace {

constexpr std::int64_t microsecondsPerMillisecond = 1'000;

int ignoreFileEvents(lws *, lws_callback_reasons, void *, void *, std::size_t)
{
    return 0; // the event only wakes the loop; the wake actions read the descriptor
}

const lws_protocols fileProtocols[] = {
    {"filbert-file", ignoreFileEvents, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

} // namespace

event_loop::event_loop()
{
    lws_set_log_level(LLL_ERR, [](int, const char *text) {
        log_line {"http_library", log_line::severity::Warning}.with("text", text);
    });
    lws_context_creation_info info {};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.pt_serv_buf_size = 16 * 1024;
    info.max_http_header_data = 8 * 1024;
    lwsContext = lws_create_context(&info);
    FILBERT_INVARIANT(lwsContext != nullptr, "libwebsockets creates its context");
    lws_context_creation_info files {};
    files.port = CONTEXT_PORT_NO_LISTEN;
    files.protocols = fileProtocols;
    files.vhost_name = "files";
    fileVhost = lws_create_vhost(lwsContext, &files);
}

event_loop::~event_loop()
{
    for (auto &entry : timers) {
        lws_sul_cancel(&entry->entry);
    }
    lws_context_destroy(lwsContext);
    for (const int descriptor : signalDescriptors) {
        close(descriptor);
    }
}

void event_loop::run()
{
    bool hasMoreWork = runWakeActions();
    while (!isStopping) {
        lws_service(lwsContext, hasMoreWork ? -1 : 0);
        hasMoreWork = runWakeActions();
        removeExpiredTimers();
    }
}

bool event_loop::runWakeActions()
{
    bool didWork = runPostedActions();
    for (std::size_t i = 0; i < wakeActions.size(); ++i) {
        didWork = wakeActions[i]() || didWork;
    }
    return didWork;
}

bool event_loop::runPostedActions()
{
    if (postedActions.empty()) {
        return false;
    }
    const auto actions = std::exchange(postedActions, {});
    for (const auto &action : actions) {
        action();
    }
    return true;
}

void event_loop::onTimer(lws_sorted_usec_list_t *entry)
{
    auto *self = reinterpret_cast<timer *>(entry);
    if (self->isRepeating) {
        lws_sul_schedule(self->loop->lwsContext, 0, &self->entry, onTimer,
                         self->period.count * microsecondsPerMillisecond);
    } else {
        self->loop->hasExpiredTimers = true;
    }
    const auto action = self->isRepeating ? self->action : std::move(self->action);
    if (!self->isRepeating) {
        self->action = nullptr;
    }
    action();
}

void event_loop::removeExpiredTimers()
{
    if (hasExpiredTimers) {
        std::erase_if(timers, [](const auto &entry) { return entry->action == nullptr; });
        hasExpiredTimers = false;
    }
}

void event_loop::addTimer(milliseconds period, bool isRepeating, std::function<void()> action)
{
    auto entry = std::make_unique<timer>();
    entry->loop = this;
    entry->period = period;
    entry->isRepeating = isRepeating;
    entry->action = std::move(action);
    lws_sul_schedule(lwsContext, 0, &entry->entry, onTimer,
                     period.count * microsecondsPerMillisecond);
    timers.push_back(std::move(entry));
}

void event_loop::callEvery(milliseconds period, std::function<void()> action)
{
    addTimer(period, true, std::move(action));
}

void event_loop::callAfter(milliseconds delay, std::function<void()> action)
{
    addTimer(delay.count > 0 ? delay : milliseconds {1}, false, std::move(action));
}

void event_loop::onWake(std::function<bool()> action)
{
    wakeActions.push_back(std::move(action));
}

void event_loop::watchDescriptor(int descriptor)
{
    lws_sock_file_fd_type watched {};
    watched.filefd = dup(descriptor); // the library closes the descriptor that it watches
    lws_adopt_descriptor_vhost(fileVhost, LWS_ADOPT_RAW_FILE_DESC, watched, "filbert-file",
                               nullptr);
}

void event_loop::onSignals(const std::vector<int> &numbers, std::function<void()> action)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : numbers) {
        sigaddset(&signals, number);
    }
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    signalDescriptors.push_back(descriptor);
    watchDescriptor(descriptor);
    onWake([descriptor, action = std::move(action)] {
        signalfd_siginfo info {};
        if (read(descriptor, &info, sizeof info) != sizeof info) {
            return false;
        }
        action();
        return true;
    });
}

void event_loop::onStopSignal(std::function<void(int)> action)
{
    std::signal(SIGPIPE, SIG_IGN);
    onSignals({SIGTERM, SIGINT},
              [action = std::move(action), count = 0]() mutable { action(++count); });
}

void event_loop::onReloadSignal(std::function<void()> action)
{
    onSignals({SIGHUP}, std::move(action));
}

} // namespace filbert
