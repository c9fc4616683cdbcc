#pragma once

#include "filbert_core/filbert_core.h"

#include <functional>
#include <libwebsockets.h>
#include <memory>
#include <utility>
#include <vector>

namespace filbert {

/** The one loop of a program, on the thread that calls run().

    Everything that waits goes through it: HTTP, ZeroMQ sockets, timers and signals.
    @see http_server, http_client, message_socket
*/
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /** Runs until stop(). */
    void run();

    /** Makes run() return after the present turn. */
    void stop() { isStopping = true; }

    /** Calls a function again and again; it lives as long as the loop.

        @param period  from one call to the next, in milliseconds, at least 1
        @param action  what to do
    */
    void callEvery(milliseconds period, std::function<void()> action);

    /** Calls a function once. @param delay in milliseconds @param action what to do */
    void callAfter(milliseconds delay, std::function<void()> action);

    /** Calls a function once, later in this turn. @param action what to do */
    void post(std::function<void()> action) { posted.push_back(std::move(action)); }

    /** Calls a function after every wake of the loop, as often as it says that it did something.

        @param action  returns whether it did any work
    */
    void onWake(std::function<bool()> action);

    /** Wakes the loop when a descriptor can be read; the descriptor stays the caller's.

        @param descriptor  of a socket or signal; a duplicate of it is watched
    */
    void watchDescriptor(int descriptor);

    /** SIGTERM and SIGINT as a call on the loop. @param action the number of signals so far */
    void onStopSignal(std::function<void(int)> action);

    /** SIGHUP as a call on the loop; without it the signal ends the program. */
    void onReloadSignal(std::function<void()> action);

    lws_context *context() const { return lwsContext; }

private:
    struct timer
    {
        lws_sorted_usec_list_t entry {}; // first member: the library hands back its address
        event_loop *loop = nullptr;
        milliseconds period;
        bool isRepeating = false;
        std::function<void()> action;
    };

    static void onTimer(lws_sorted_usec_list_t *entry);
    void onSignals(const std::vector<int> &numbers, std::function<void()> action);
    void addTimer(milliseconds period, bool isRepeating, std::function<void()> action);
    bool runWakeActions();
    bool runPosted();
    void removeSpentTimers();

    lws_context *lwsContext = nullptr;
    lws_vhost *fileVhost = nullptr;
    std::vector<std::unique_ptr<timer>> timers;
    std::vector<std::function<bool()>> wakeActions;
    std::vector<std::function<void()>> posted;
    bool isStopping = false;
    bool hasSpentTimers = false;
    std::vector<int> signalDescriptors;
};

} // namespace filbert
