#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>

namespace filbert {

/** Runs the syncs of a disk on a thread of its own, one at a time, so that an event loop goes on
    while the disk is busy.

    Only the sync itself runs on the thread. All functions are called by the owner's thread.
*/
class sync_thread
{
public:
    sync_thread();
    /** Waits for a sync that is in progress. */
    ~sync_thread();
    sync_thread(const sync_thread &) = delete;
    sync_thread &operator=(const sync_thread &) = delete;

    /** Starts a sync. The result of the previous one must have been taken. */
    void start(std::function<std::error_code()> sync);

    /** @return the result of the sync once it has ended, and nothing before or afterwards */
    std::optional<std::error_code> takeResult();

    /** @return a descriptor that is readable while a result waits to be taken */
    int descriptor() const { return resultEvent; }

private:
    void run();

    std::mutex mutex;
    std::condition_variable wake;
    std::function<std::error_code()> pendingSync;
    std::optional<std::error_code> result;
    bool isStopping = false;
    int resultEvent;
    std::thread thread; // last: it uses the other members
};

} // namespace filbert
