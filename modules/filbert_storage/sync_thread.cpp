#include "sync_thread.h"

#include "filbert_core/filbert_core.h"

#include <csignal>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace filbert {

sync_thread::sync_thread()
    : resultEvent {eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)}
{
    FILBERT_INVARIANT(resultEvent >= 0, "an event descriptor can be opened");
    // Signals are handled by the event loop: the new thread inherits a mask that blocks them all.
    sigset_t all;
    sigset_t previous;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &previous);
    thread = std::thread {[this] { run(); }};
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
}

sync_thread::~sync_thread()
{
    {
        const std::lock_guard lock {mutex};
        isStopping = true;
    }
    wake.notify_one();
    thread.join();
    close(resultEvent);
}

void sync_thread::start(std::function<std::error_code()> sync)
{
    {
        const std::lock_guard lock {mutex};
        FILBERT_INVARIANT(!pendingSync && !result, "one sync is in progress at a time");
        pendingSync = std::move(sync);
    }
    wake.notify_one();
}

std::optional<std::error_code> sync_thread::takeResult()
{
    const std::lock_guard lock {mutex};
    if (result) {
        std::uint64_t count = 0;
        // The result decides; the event only wakes the loop.
        [[maybe_unused]] const auto size = read(resultEvent, &count, sizeof count);
    }
    return std::exchange(result, std::nullopt);
}

void sync_thread::run()
{
    std::unique_lock lock {mutex};
    while (true) {
        wake.wait(lock, [this] { return isStopping || pendingSync; });
        if (!pendingSync) {
            return;
        }
        const auto sync = pendingSync;
        lock.unlock();
        const auto error = sync();
        lock.lock();
        pendingSync = nullptr;
        result = error;
        const std::uint64_t one = 1;
        // The descriptor's counter cannot overflow: takeResult() resets it for each result.
        [[maybe_unused]] const auto size = write(resultEvent, &one, sizeof one);
    }
}

} // namespace filbert
