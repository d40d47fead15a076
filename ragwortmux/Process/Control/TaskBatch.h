#ifndef RAGWORTMUX_PROCESS_CONTROL_TASKBATCH_H
#define RAGWORTMUX_PROCESS_CONTROL_TASKBATCH_H

#include "ragwortmux/Core/Time.h"

#include <cstddef>

namespace ragwortmux {

/// Decides how many tasks of the control node share one round of actions, and
/// with it one write to the disk.
///
/// Load pattern: after a change of leader or a cut, all entry hosts open their
/// sessions at once. With a write for each of them the messages of the log wait
/// behind, and the leader loses its quorum.
class TaskBatch final {
public:
  /// Largest number of tasks in a batch.
  static constexpr std::size_t MaxTasks = 64;
  /// A batch ends with the first task that ends this long after its start.
  static constexpr Duration MaxLength = std::chrono::milliseconds(10);

  /// A task starts at \p Now.
  void taskStarted(Instant Now) {
    if (m_Tasks == 0)
      m_StartedAt = Now;
    ++m_Tasks;
  }
  /// The task has ended at \p Now and \p Waiting tasks wait. True if the
  /// actions of the batch have to be performed now; the next task then starts
  /// another batch.
  bool taskEnded(Instant Now, std::size_t Waiting) {
    const bool IsFull =
        m_Tasks >= MaxTasks || Now - m_StartedAt >= MaxLength || Waiting == 0;
    if (IsFull)
      m_Tasks = 0;
    return IsFull;
  }

private:
  std::size_t m_Tasks = 0; ///< Tasks of the current batch.
  Instant m_StartedAt{};   ///< Start of the current batch.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_TASKBATCH_H
