#pragma once

#include "filbert_core/filbert_core.h"

#include <functional>
#include <libwebsockets.h>
#include <memory>
#include <utility>
#include <vector>

namespace filbert {

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

        @param descriptor  a socket or signal descriptor; the loop watches a duplicate of it
    */
    void watchDescriptor(int descriptor);

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
        // Must be the first member: the library passes its address back.
        lws_sorted_usec_list_t entry {};
        event_loop *loop = nullptr;
        milliseconds period;
        bool isRepeating = false;
        std::function<void()> action;
    };

    static void onTimer(lws_sorted_usec_list_t *entry);
    void onSignals(const std::vector<int> &numbers, std::function<void()> action);
    void addTimer(milliseconds period, bool isRepeating, std::function<void()> action);
    bool runWakeActions();
    bool runPostedActions();
    void removeExpiredTimers();

    lws_context *lwsContext = nullptr;
    lws_vhost *fileVhost = nullptr;
    std::vector<std::unique_ptr<timer>> timers;
    std::vector<std::function<bool()>> wakeActions;
    std::vector<std::function<void()>> postedActions;
    bool isStopping = false;
    bool hasExpiredTimers = false;
    std::vector<int> signalDescriptors;
};

} // namespace filbert
