#include "event_loop.h"

#include <algorithm>
#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace filbert {

namespace {

constexpr double secondsPerMillisecond = 1e-3;
constexpr std::int64_t microsecondsPerMillisecond = 1'000;
// The library sets its next timer only while it handles an event. A timer of this period, of its
// own, makes it find those that were added elsewhere. Its timeouts are whole seconds.
constexpr milliseconds libraryTimerPeriod {100};
// A loop that has not looked for events for this time stood still: its timers are far shorter.
constexpr milliseconds standstillTime {500};
// A loop that waited for this time found no event when it began to: two ticks of the clock.
constexpr milliseconds noticeableWait {2};
// What has waited in the sockets is read within this time, also while new requests keep coming.
constexpr milliseconds maxCatchUpTime {1'000};

} // namespace

/** Only notes that there is input: it is read together with that of all other descriptors. */
int event_loop::onFileEvent(lws *wsi, lws_callback_reasons reason, void *, void *, std::size_t)
{
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        if (auto *input = static_cast<input_source *>(lws_get_opaque_user_data(wsi))) {
            input->mark();
        }
    }
    return 0;
}

event_loop::event_loop()
{
    lws_set_log_level(LLL_ERR, [](int, const char *text) {
        log_line {"http_library", log_line::severity::Warning}.with("text", text);
    });
    // The library's own loop passes all its descriptors to poll() in each turn. With epoll, a turn
    // costs by what has happened, not by how many connections are open.
    constexpr unsigned backend = EVBACKEND_EPOLL;
    constexpr unsigned flags = EVFLAG_NOENV; // no variable may choose another backend
    events = ev_loop_new(backend | flags);
    FILBERT_INVARIANT(events != nullptr, "an epoll descriptor can be opened");
    void *foreignLoops[] = {events};
    lws_context_creation_info info {};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT
        | LWS_SERVER_OPTION_LIBEV;
    info.foreign_loops = foreignLoops;
    info.pcontext = &lwsContext; // reset once the context is destroyed
    info.pt_serv_buf_size = 16 * 1024;
    info.max_http_header_data = 8 * 1024;
    lastCollectedAt = monotonicNow();
    ev_check_init(&collectedWatcher, onEventsCollected);
    ev_set_priority(&collectedWatcher, EV_MAXPRI); // before the events are handled
    collectedWatcher.data = this;
    ev_prepare_init(&waitWatcher, onBeforeWait);
    waitWatcher.data = this;
    ev_prepare_start(events, &waitWatcher);
    ev_check_start(events, &collectedWatcher);
    lwsContext = lws_create_context(&info);
    FILBERT_INVARIANT(lwsContext != nullptr, "libwebsockets creates its context");
    lws_sul_schedule(lwsContext, 0, &libraryTimer, onLibraryTimer,
                     libraryTimerPeriod.count * microsecondsPerMillisecond);
    static const lws_protocols fileProtocols[] = {
        {"filbert-file", onFileEvent, 0, 0, 0, nullptr, 0},
        {nullptr, nullptr, 0, 0, 0, nullptr, 0},
    };
    lws_context_creation_info files {};
    files.port = CONTEXT_PORT_NO_LISTEN;
    files.protocols = fileProtocols;
    files.vhost_name = "files";
    fileVhost = lws_create_vhost(lwsContext, &files);
}

event_loop::~event_loop()
{
    for (auto &entry : timers) {
        ev_timer_stop(events, &entry->watcher);
    }
    lws_sul_cancel(&libraryTimer);
    ev_check_stop(events, &collectedWatcher);
    ev_prepare_stop(events, &waitWatcher);
    while (lwsContext != nullptr) { // in several steps, since the loop is not the library's own
        lws_context_destroy(lwsContext);
    }
    ev_loop_destroy(events);
    for (const int descriptor : signalDescriptors) {
        close(descriptor);
    }
}

void event_loop::run()
{
    bool hasMoreWork = runWakeActions();
    while (!isStopping) {
        ev_run(events, hasMoreWork ? EVRUN_NOWAIT : EVRUN_ONCE);
        ev_run(events, EVRUN_NOWAIT); // the library serves its timers once it is idle
        hasMoreWork = runWakeActions();
        removeExpiredTimers();
    }
}

/** @return whether there is more to do without waiting for an event */
bool event_loop::runWakeActions()
{
    runPostedActions();
    receiveInputs();
    bool hasMoreWork = false;
    for (std::size_t i = 0; i < wakeActions.size(); ++i) {
        hasMoreWork = wakeActions[i]() || hasMoreWork;
    }
    // The actions have used sockets, and may have consumed the signals of messages that arrived
    // meanwhile. What these messages cause is left to the next call.
    hasMoreWork = receiveInputs() || hasMoreWork;
    return hasMoreWork || hasMarkedInput() || !postedActions.empty();
}

/** @return whether any input was read */
bool event_loop::receiveInputs()
{
    bool didReceive = false;
    for (std::size_t i = 0; i < inputs.size(); ++i) { // a handler may add further inputs
        const auto input = inputs[i];
        if (std::exchange(input->isMarked, false)) {
            const auto outcome = input->receive();
            input->isMarked = outcome == input_source::outcome::SomeRemains;
            didReceive = didReceive || outcome != input_source::outcome::Nothing;
        }
    }
    return didReceive;
}

bool event_loop::hasMarkedInput() const
{
    return std::any_of(inputs.begin(), inputs.end(),
                       [](const auto &input) { return input->isMarked; });
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

void event_loop::onTimer(struct ev_loop *events, ev_timer *watcher, int)
{
    auto *self = static_cast<timer *>(watcher->data);
    if (self->isRepeating) {
        ev_timer_again(events, watcher); // a full period from now, also after a stall
    }
    self->loop->hasExpiredTimers = self->loop->hasExpiredTimers || !self->isRepeating;
    const auto action = self->isRepeating ? self->action : std::exchange(self->action, nullptr);
    action();
}

void event_loop::onBeforeWait(struct ev_loop *, ev_prepare *watcher, int)
{
    static_cast<event_loop *>(watcher->data)->lastWaitAt = monotonicNow();
}

/** Notices that the process stood still, and when it has read all that has waited meanwhile: then
    the loop has to wait for events. */
void event_loop::onEventsCollected(struct ev_loop *, ev_check *watcher, int)
{
    auto *self = static_cast<event_loop *>(watcher->data);
    const auto now = monotonicNow();
    const auto pause = now - self->lastCollectedAt;
    const bool hasWaited = now - self->lastWaitAt >= noticeableWait;
    if (pause > standstillTime) {
        log_line {"loop_stood_still", log_line::severity::Warning}.with("pause_ms", pause.count);
        self->stoodStillSince = self->stoodStillSince.value_or(self->lastCollectedAt);
        self->wokeAt = now;
    } else if (hasWaited || now - self->wokeAt > maxCatchUpTime) {
        self->stoodStillSince.reset();
    }
    self->lastCollectedAt = now;
}

time_point event_loop::inputArrivedAfter() const
{
    return stoodStillSince.value_or(monotonicNow());
}

void event_loop::onLibraryTimer(lws_sorted_usec_list_t *entry)
{
    auto *self = lws_container_of(entry, event_loop, libraryTimer);
    lws_sul_schedule(self->lwsContext, 0, entry, onLibraryTimer,
                     libraryTimerPeriod.count * microsecondsPerMillisecond);
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
    entry->isRepeating = isRepeating;
    entry->action = std::move(action);
    const auto seconds = static_cast<double>(period.count) * secondsPerMillisecond;
    ev_timer_init(&entry->watcher, onTimer, seconds, isRepeating ? seconds : 0.0);
    entry->watcher.data = entry.get();
    ev_now_update(events); // the delay counts from now, not from the start of this turn
    ev_timer_start(events, &entry->watcher);
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

void event_loop::watch(int descriptor, input_source *input)
{
    lws_sock_file_fd_type watched {};
    watched.filefd = dup(descriptor); // the library closes the descriptor that it watches
    auto *wsi = lws_adopt_descriptor_vhost(fileVhost, LWS_ADOPT_RAW_FILE_DESC, watched,
                                           "filbert-file", nullptr);
    FILBERT_INVARIANT(wsi != nullptr, "a descriptor can be watched");
    lws_set_opaque_user_data(wsi, input);
}

std::shared_ptr<input_source> event_loop::addInput(int descriptor,
                                                   std::function<input_source::outcome()> receive)
{
    inputs.push_back(std::make_shared<input_source>(std::move(receive)));
    watch(descriptor, inputs.back().get());
    return inputs.back();
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
    addInput(descriptor, [descriptor, action = std::move(action)] {
        signalfd_siginfo info {};
        if (read(descriptor, &info, sizeof info) != sizeof info) {
            return input_source::outcome::Nothing;
        }
        action();
        return input_source::outcome::SomeRemains; // the next call finds out
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
