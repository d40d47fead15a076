#include "bench/EntryHosts/ProcessorLimiter.h"

#include "ragwortmux/Process/Loop/SystemClock.h"

#include <algorithm>
#include <csignal>

namespace ragwortmux {

namespace {

/// Interval at which the used processor time is read.
constexpr Duration CheckInterval = std::chrono::milliseconds(2);

Duration readClock(clockid_t Clock) {
  timespec Time{};
  clock_gettime(Clock, &Time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

void ProcessorLimiter::add(pid_t Id, double Share) {
  Limited Process;
  Process.m_Id = Id;
  if (Share <= 0 || clock_getcpuclockid(Id, &Process.m_Clock) != 0) {
    return;
  }
  Process.m_Quota = std::chrono::duration_cast<Duration>(Period * Share);
  Process.m_UsedBefore = readClock(Process.m_Clock);
  m_Processes.push_back(Process);
}

void ProcessorLimiter::start() {
  m_IsRunning = true;
  m_Thread = std::thread([this] { run(); });
}

void ProcessorLimiter::remove(pid_t Id) {
  const std::lock_guard Lock(m_Mutex);
  std::erase_if(m_Processes,
                [Id](const Limited &Process) { return Process.m_Id == Id; });
}

void ProcessorLimiter::stop() {
  m_IsRunning = false;
  if (m_Thread.joinable()) {
    m_Thread.join();
  }
  for (Limited &Process : m_Processes) {
    if (Process.m_IsSuspended) {
      kill(Process.m_Id, SIGCONT);
    }
  }
  m_Processes.clear();
}

void ProcessorLimiter::run() {
  Instant PeriodEnd = monotonicNow() + Period;
  while (m_IsRunning) {
    {
      const std::lock_guard Lock(m_Mutex);
      if (monotonicNow() >= PeriodEnd) {
        PeriodEnd = std::max(PeriodEnd + Period, monotonicNow());
        std::ranges::for_each(m_Processes, beginPeriod);
      }
      std::ranges::for_each(m_Processes, suspendIfUsedUp);
    }
    std::this_thread::sleep_for(CheckInterval);
  }
}

void ProcessorLimiter::beginPeriod(Limited &Process) {
  // Time that was used above the quota counts in the next period.
  const Duration Used = readClock(Process.m_Clock);
  Process.m_UsedBefore = std::min(Used, Process.m_UsedBefore + Process.m_Quota);
  if (Used - Process.m_UsedBefore < Process.m_Quota && Process.m_IsSuspended) {
    Process.m_IsSuspended = false;
    kill(Process.m_Id, SIGCONT);
  }
}

void ProcessorLimiter::suspendIfUsedUp(Limited &Process) {
  const Duration Used = readClock(Process.m_Clock) - Process.m_UsedBefore;
  if (!Process.m_IsSuspended && Used >= Process.m_Quota) {
    Process.m_IsSuspended = true;
    kill(Process.m_Id, SIGSTOP);
  }
}

} // namespace ragwortmux
