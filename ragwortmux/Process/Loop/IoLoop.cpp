#include "ragwortmux/Process/Loop/IoLoop.h"

#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Support/Log.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace ragwortmux {

IoLoop::IoLoop()
    : m_Io(kj::setupAsyncIo()),
      m_WakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      m_WakeObserver(m_Io.unixEventPort, m_WakeFd,
                     kj::UnixEventPort::FdObserver::OBSERVE_READ),
      m_Stop(kj::newPromiseAndFulfiller<void>()), m_Tasks(*this),
      m_Watch(threadTime) {
  m_Tasks.add(watchMailbox());
}

IoLoop::~IoLoop() noexcept = default;

void IoLoop::run() { m_Stop.promise.wait(m_Io.waitScope); }

void IoLoop::stop() {
  post([this] { m_Stop.fulfiller->fulfill(); });
}

void IoLoop::post(Task Work) {
  bool WasEmpty = false;
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    WasEmpty = m_Mailbox.empty();
    if (WasEmpty) {
      m_OldestPostedAt = monotonicNow();
    }
    m_Mailbox.push_back(std::move(Work));
  }
  // A single wake-up is enough for all tasks that are posted until the mailbox
  // is drained.
  if (WasEmpty) {
    const std::uint64_t One = 1;
    [[maybe_unused]] const ssize_t Written = write(m_WakeFd, &One, sizeof One);
  }
}

void IoLoop::after(Duration Delay, Task Work) {
  const Instant DueAt = monotonicNow() + Delay;
  m_Tasks.add(timer()
                  .afterDelay(toKj(Delay))
                  .then([this, DueAt, Work = std::move(Work)] {
                    runTimer(Work, DueAt);
                  }));
}

void IoLoop::every(Duration Interval, Task Work) {
  m_Tasks.add(repeat(Interval, std::move(Work)));
}

kj::Promise<kj::Own<kj::AsyncIoStream>>
IoLoop::connect(const std::string &Address, std::uint16_t Port) {
  return network()
      .parseAddress(Address, Port)
      .then([](kj::Own<kj::NetworkAddress> &&Parsed) {
        auto Connecting = Parsed->connect();
        return Connecting.attach(kj::mv(Parsed));
      });
}

void IoLoop::spawn(kj::Promise<void> Promise) { m_Tasks.add(kj::mv(Promise)); }

void IoLoop::taskFailed(kj::Exception &&Error) {
  logWarn(Part::Process, "A background task failed: {}.",
          Error.getDescription().cStr());
}

kj::Promise<void> IoLoop::watchMailbox() {
  return m_WakeObserver.whenBecomesReadable().then([this] {
    drainMailbox();
    return watchMailbox();
  });
}

kj::Promise<void> IoLoop::repeat(Duration Interval, Task Work) {
  const Instant DueAt = monotonicNow() + Interval;
  return timer()
      .afterDelay(toKj(Interval))
      .then([this, Interval, DueAt, Work = std::move(Work)]() mutable {
        runTimer(Work, DueAt);
        return repeat(Interval, std::move(Work));
      });
}

void IoLoop::runTimer(const Task &Work, Instant DueAt) {
  m_Watch.started(LoopWork::Timer, DueAt, monotonicNow());
  Work();
  m_Watch.ended(monotonicNow());
}

void IoLoop::drainMailbox() {
  // Reset the eventfd before emptying the mailbox, so that a task that is
  // posted in between wakes the loop again.
  std::uint64_t Count = 0;
  [[maybe_unused]] const ssize_t Read = read(m_WakeFd, &Count, sizeof Count);
  std::vector<Task> Tasks;
  Instant OldestPostedAt{};
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    Tasks.swap(m_Mailbox);
    OldestPostedAt = m_OldestPostedAt;
  }
  m_Watch.started(LoopWork::PostedTasks, OldestPostedAt, monotonicNow());
  for (Task &Work : Tasks) {
    Work();
  }
  m_Watch.ended(monotonicNow());
}

} // namespace ragwortmux
