#ifndef RAGWORTMUX_PROCESS_LOOP_LOOPWATCH_H
#define RAGWORTMUX_PROCESS_LOOP_LOOPWATCH_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

namespace ragwortmux {

/// Kind of work on the event loop.
enum class LoopWork : std::uint8_t {
  PostedTasks, ///< Tasks that other threads posted, run in one batch.
  Timer,       ///< A timer.
};

/// Name of \p Work in logs and metrics.
std::string_view loopWorkName(LoopWork Work);

/// Measures how late an event loop runs its work, and writes a log line when
/// the delay is long, at most one in each WarningInterval.
///
/// Single-threaded; belongs to an IoLoop.
class LoopWatch final {
public:
  /// Delays above this are logged; the default interval of heartbeats.
  static constexpr Duration WarningDelay = std::chrono::milliseconds(50);
  /// Minimum time between two log lines.
  static constexpr Duration WarningInterval = std::chrono::seconds(1);

  /// Gets each measured delay.
  using Observer = std::function<void(LoopWork Work, Duration Delay)>;
  /// Returns the processor time that the thread has used.
  using ThreadTime = std::function<Duration()>;

  explicit LoopWatch(ThreadTime UsedTime);

  void setObserver(Observer OnDelay) { m_Observer = std::move(OnDelay); }
  /// Work that was due at \p DueAt starts at \p Now.
  void started(LoopWork Work, Instant DueAt, Instant Now);
  /// The work that was started last has ended.
  void ended(Instant Now);

private:
  void warn(LoopWork Work, Duration Delay, Instant Now);

  ThreadTime m_UsedTime;             ///< Processor time of the loop's thread.
  Observer m_Observer;               ///< See setObserver(); may be empty.
  Instant m_StartedAt{};             ///< Start of the current work.
  LoopWork m_Work = LoopWork::Timer; ///< Kind of the current work.
  Instant m_LastNotedAt{};           ///< When m_LastUsedTime was read.
  Duration m_LastUsedTime{0};        ///< Processor time at m_LastNotedAt.
  Duration m_LongestRun{0};          ///< Longest work since the last log line.
  LoopWork m_LongestRunWork = LoopWork::Timer; ///< Its kind.
  Instant m_LastWarningAt{};                   ///< Time of the last log line.
  std::uint64_t m_LateRuns = 0; ///< Late starts since the last log line.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOOP_LOOPWATCH_H
