#pragma once

#include "filbert_core/filbert_core.h"

#include <ev.h>
#include <functional>
#include <libwebsockets.h>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace filbert {

/** Input that arrives behind a descriptor, for example the messages of a socket.

    The descriptor may signal a change only once, as those of ZeroMQ do, and any use of its socket
    may consume that signal. So input is read when the descriptor becomes readable, and again
    whenever its owner has called mark().
*/
class input_source
{
public:
    /** What a call of the receive function has done. */
    enum class outcome { Nothing, ReadAll, SomeRemains };

    /** @param receive  reads the available input */
    explicit input_source(std::function<outcome()> receive)
        : receive {std::move(receive)}
    {
    }

    /** Requests that the loop reads the input before it waits again. */
    void mark() { isMarked = true; }

private:
    friend class event_loop;

    std::function<outcome()> receive;
    bool isMarked = true; // input may have arrived before the descriptor was watched
};

/** The event loop of a program. It runs on the thread that calls run().

    It dispatches all events of the program: HTTP, ZeroMQ sockets, timers and signals.
    @see http_server, http_client, message_server, message_client
*/
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /** Dispatches events until stop() is called. */
    void run();

    /** @return when input that is read now may have arrived at the earliest: now or, if the process
       stood still and has not read all that has waited meanwhile, when it last ran. Sleep of the
       host counts. */
    time_point inputArrivedAfter() const;

    /** Makes run() return after the current iteration. */
    void stop() { isStopping = true; }

    /** Calls a function periodically, for as long as the loop exists.

        @param period  time between two calls, in milliseconds, at least 1
        @param action  the function to call
    */
    void callEvery(milliseconds period, std::function<void()> action);

    /** Calls a function once.

        @param delay   time until the call, in milliseconds
        @param action  the function to call
    */
    void callAfter(milliseconds delay, std::function<void()> action);

    /** Calls a function once, later in the current iteration of the loop. */
    void post(std::function<void()> action) { postedActions.push_back(std::move(action)); }

    /** Calls a function whenever the loop wakes, and again without waiting while it reports work.

        Sockets and timers are served between two calls, since an action may block, for example in
        a write to a disk.

        @param action  returns whether it did any work
    */
    void onWake(std::function<bool()> action);

    /** Wakes the loop when a descriptor becomes readable. The caller keeps ownership of it.

        @param descriptor  a socket or event descriptor; the loop watches a duplicate of it
    */
    void watchDescriptor(int descriptor) { watch(descriptor, nullptr); }

    /** Reads input whenever a descriptor becomes readable, before the wake actions run.

        @param descriptor  as in watchDescriptor()
        @param receive     reads the available input
        @return the source, to be marked after each use of the socket
    */
    std::shared_ptr<input_source> addInput(int descriptor,
                                           std::function<input_source::outcome()> receive);

    /** Handles SIGTERM and SIGINT on the loop.

        @param action  called for each signal, with the number of signals received so far
    */
    void onStopSignal(std::function<void(int)> action);

    /** Handles SIGHUP on the loop. Without a handler the signal terminates the program. */
    void onReloadSignal(std::function<void()> action);

    lws_context *context() const { return lwsContext; }

private:
    struct timer
    {
        ev_timer watcher {};
        event_loop *loop = nullptr;
        bool isRepeating = false;
        std::function<void()> action;
    };

    static void onTimer(struct ev_loop *events, ev_timer *watcher, int flags);
    static void onEventsCollected(struct ev_loop *events, ev_check *watcher, int flags);
    static void onBeforeWait(struct ev_loop *events, ev_prepare *watcher, int flags);
    static void onLibraryTimer(lws_sorted_usec_list_t *entry);
    void onSignals(const std::vector<int> &numbers, std::function<void()> action);
    void addTimer(milliseconds period, bool isRepeating, std::function<void()> action);
    static int onFileEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                           std::size_t length);
    bool runWakeActions();
    bool runPostedActions();
    void watch(int descriptor, input_source *input);
    bool receiveInputs();
    bool hasMarkedInput() const;
    void removeExpiredTimers();

    struct ev_loop *events = nullptr;
    lws_context *lwsContext = nullptr;
    lws_sorted_usec_list_t libraryTimer {};
    ev_check collectedWatcher {};
    ev_prepare waitWatcher {};
    time_point lastCollectedAt; // when the loop last looked for events
    time_point lastWaitAt; // when it last began to wait for them
    std::optional<time_point> stoodStillSince; // until all input that has waited is read
    time_point wokeAt; // from that standstill
    lws_vhost *fileVhost = nullptr;
    std::vector<std::unique_ptr<timer>> timers;
    std::vector<std::shared_ptr<input_source>> inputs;
    std::vector<std::function<bool()>> wakeActions;
    std::vector<std::function<void()>> postedActions;
    bool isStopping = false;
    bool hasExpiredTimers = false;
    std::vector<int> signalDescriptors;
};

} // namespace filbert
