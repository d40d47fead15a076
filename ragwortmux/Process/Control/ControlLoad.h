#ifndef RAGWORTMUX_PROCESS_CONTROL_CONTROLLOAD_H
#define RAGWORTMUX_PROCESS_CONTROL_CONTROLLOAD_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Control/ControlTaskKind.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

namespace ragwortmux {

class Metrics;

/// The load of a control node over ControlLoad::Window.
struct ControlLoadSummary final {
  Duration m_LongestTickGap{0}; ///< Longest time between two ticks.
  Duration m_LongestTask{0};    ///< Longest time that one task ran.
  ControlTaskKind m_LongestTaskKind = ControlTaskKind::Tick; ///< Its kind.
  Duration m_LongestWait{0};    ///< Longest time from post to start of a task.
  Duration m_LongestSync{0};    ///< Longest write and sync of the log.
  Duration m_Busy{0};           ///< Sum of the running times of all tasks.
  std::uint64_t m_Tasks = 0;    ///< Tasks started.
  std::uint64_t m_Renewals = 0; ///< Renewals started.
  std::uint64_t m_Pushes = 0;   ///< Updates pushed to entry processes.
  std::size_t m_Waiting = 0;    ///< Tasks that wait at the moment.
};

/// Measures the work of a control node: how long tasks wait and run, the time
/// between ticks, and syncs of the log. Writes a log line when a task waited
/// long, at most one in each WarningInterval. Thread-safe.
class ControlLoad final {
public:
  /// Length of the time that summary() covers.
  static constexpr Duration Window = std::chrono::seconds(2);
  /// Waits above this are logged; the default interval of heartbeats.
  static constexpr Duration WarningWait = std::chrono::milliseconds(50);
  /// Minimum time between two log lines.
  static constexpr Duration WarningInterval = std::chrono::seconds(1);

  /// \p ProcessMetrics gets the times of all tasks and syncs.
  explicit ControlLoad(Metrics &ProcessMetrics) : m_Metrics(ProcessMetrics) {}

  /// A task was posted to the node.
  void taskPosted();
  /// A task that was posted at \p PostedAt starts at \p Now.
  void taskStarted(ControlTaskKind Kind, Instant PostedAt, Instant Now);
  /// The task that was started last has ended.
  void taskEnded(Instant Now);
  /// A write and sync of the log took \p Length.
  void logSynced(Instant Now, Duration Length);
  /// An update was pushed to an entry process.
  void updatePushed(Instant Now);

  /// Number of tasks that were posted and not started yet.
  std::size_t waitingTasks() const;
  /// The load over the Window before \p Now, the running task included.
  ControlLoadSummary summary(Instant Now) const;

private:
  /// Time that one slot covers.
  static constexpr Duration SlotLength = std::chrono::milliseconds(250);
  static constexpr std::size_t SlotCount = Window / SlotLength;

  /// The load within one SlotLength.
  struct Slot final {
    std::int64_t m_Number = 0;   ///< Number of the slot since the clock's zero.
    ControlLoadSummary m_Values; ///< The load.
  };

  static std::int64_t slotNumber(Instant Now);
  static void addTask(ControlLoadSummary &Values, ControlTaskKind Kind,
                      Duration Length);
  ControlLoadSummary &slotAt(Instant Now);
  void noteStart(ControlTaskKind Kind, Duration Wait, Instant Now);
  bool isWarningDue(Duration Wait, Instant Now);

  Metrics &m_Metrics;                     ///< The process's metrics.
  mutable std::mutex m_Mutex;             ///< Guards all members below.
  std::array<Slot, SlotCount> m_Slots{};  ///< Recent slots, by number.
  std::size_t m_Waiting = 0;              ///< Tasks posted and not started.
  std::optional<Instant> m_LastTickAt;    ///< Start of the last tick.
  std::optional<Instant> m_TaskStartedAt; ///< Set while a task runs.
  ControlTaskKind m_TaskKind = ControlTaskKind::Tick; ///< Kind of that task.
  Instant m_LastWarningAt{}; ///< Time of the last log line.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_CONTROLLOAD_H
