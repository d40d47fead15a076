#ifndef BENCH_ENTRYHOSTS_PROCESSORLIMITER_H
#define BENCH_ENTRYHOSTS_PROCESSORLIMITER_H

#include "ragwortmux/Core/Time.h"

#include <sys/types.h>

#include <atomic>
#include <ctime>
#include <mutex>
#include <thread>
#include <vector>

namespace ragwortmux {

/// Limits the processor time of child processes: one that has used its share
/// of the current period is suspended (SIGSTOP) until the period ends.
class ProcessorLimiter final {
public:
  /// Length of a period.
  static constexpr Duration Period = std::chrono::milliseconds(100);

  ProcessorLimiter() = default;
  ~ProcessorLimiter() { stop(); }
  ProcessorLimiter(const ProcessorLimiter &) = delete;
  ProcessorLimiter &operator=(const ProcessorLimiter &) = delete;

  /// Limits process \p Id to \p Share of one processor; before start().
  void add(pid_t Id, double Share);
  void start();
  /// Ends the limit of process \p Id, before it is reaped.
  void remove(pid_t Id);
  /// Ends the limits and resumes all processes.
  void stop();

private:
  /// One limited process.
  struct Limited final {
    pid_t m_Id = 0;             ///< The process.
    clockid_t m_Clock = 0;      ///< Its processor time.
    Duration m_Quota{0};        ///< Processor time in one period.
    Duration m_UsedBefore{0};   ///< Processor time at the period's start.
    bool m_IsSuspended = false; ///< Suspended until the period ends.
  };

  void run();
  static void beginPeriod(Limited &Process);
  static void suspendIfUsedUp(Limited &Process);

  std::vector<Limited> m_Processes;      ///< All limited processes.
  std::mutex m_Mutex;                    ///< Guards m_Processes.
  std::atomic<bool> m_IsRunning = false; ///< False: the thread ends.
  std::thread m_Thread;                  ///< Runs run().
};

} // namespace ragwortmux

#endif // BENCH_ENTRYHOSTS_PROCESSORLIMITER_H
