#ifndef RAGWORTMUX_PROCESS_LOOP_IOLOOP_H
#define RAGWORTMUX_PROCESS_LOOP_IOLOOP_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Loop/LoopWatch.h"

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace ragwortmux {

/// The process's event loop, which runs sockets, timers and RPC on the thread
/// that constructed it.
///
/// post() and stop() may be called on any thread, all other functions only on
/// the loop's thread.
class IoLoop final : private kj::TaskSet::ErrorHandler {
public:
  using Task = std::function<void()>;

  IoLoop();
  ~IoLoop() noexcept;
  IoLoop(const IoLoop &) = delete;
  IoLoop &operator=(const IoLoop &) = delete;

  /// Runs until stop() is called.
  void run();

  /// Makes run() return. Safe from any thread.
  void stop();

  /// Runs \p Work on the loop's thread; posted tasks run in the order of the
  /// calls. Safe from any thread.
  void post(Task Work);

  /// Runs \p Work once after \p Delay.
  void after(Duration Delay, Task Work);

  /// Runs \p Work every \p Interval until the loop ends.
  void every(Duration Interval, Task Work);

  /// Connects to the IP address \p Address at \p Port.
  kj::Promise<kj::Own<kj::AsyncIoStream>> connect(const std::string &Address,
                                                  std::uint16_t Port);

  /// Runs \p Promise in the background; an error is logged.
  void spawn(kj::Promise<void> Promise);

  /// Measures how late the loop runs its work.
  LoopWatch &watch() { return m_Watch; }

  ///@name Access to the KJ event loop
  kj::Timer &timer() { return m_Io.provider->getTimer(); }
  kj::UnixEventPort &eventPort() { return m_Io.unixEventPort; }
  kj::LowLevelAsyncIoProvider &lowLevel() { return *m_Io.lowLevelProvider; }
  kj::Network &network() { return m_Io.provider->getNetwork(); }
  kj::WaitScope &waitScope() { return m_Io.waitScope; }

private:
  void taskFailed(kj::Exception &&Error) override;
  kj::Promise<void> watchMailbox();
  kj::Promise<void> repeat(Duration Interval, Task Work);
  void drainMailbox();
  void runTimer(const Task &Work, Instant DueAt);

  kj::AsyncIoContext m_Io;  ///< The KJ event loop.
  kj::AutoCloseFd m_WakeFd; ///< eventfd that wakes the loop for posted tasks.
  kj::UnixEventPort::FdObserver m_WakeObserver; ///< Observes m_WakeFd.
  kj::PromiseFulfillerPair<void> m_Stop;        ///< Ends run().
  kj::TaskSet m_Tasks;                          ///< Background promises.
  std::mutex m_Mutex;                           ///< Guards m_Mailbox.
  std::vector<Task> m_Mailbox; ///< Posted tasks that have not run yet.
  Instant m_OldestPostedAt{};  ///< When the first task of m_Mailbox was posted.
  LoopWatch m_Watch;           ///< See watch().
};

/// Converts \p Value to a duration of KJ.
inline kj::Duration toKj(Duration Value) {
  return Value.count() * kj::MICROSECONDS;
}

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOOP_IOLOOP_H
