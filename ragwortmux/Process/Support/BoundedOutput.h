#ifndef RAGWORTMUX_PROCESS_SUPPORT_BOUNDEDOUTPUT_H
#define RAGWORTMUX_PROCESS_SUPPORT_BOUNDEDOUTPUT_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace ragwortmux {

/// Configuration of a BoundedOutput.
struct BoundedOutputSettings final {
  int m_Descriptor = 1;               ///< File descriptor; 1: standard output.
  std::uint32_t m_LinesPerSecond = 0; ///< Lines per second; 0: no limit.
  std::function<Instant()> m_Now;     ///< The clock. Required.
};

/// Writes whole lines to a file descriptor without blocking. A line for which
/// the descriptor has no room, or which exceeds the rate limit, is dropped and
/// counted.
///
/// Not thread-safe.
class BoundedOutput final {
public:
  explicit BoundedOutput(BoundedOutputSettings Settings);

  /// Counts a line against the rate limit of this second; false if the limit is
  /// exceeded, in which case the line counts as dropped. Must be called once
  /// before each line is formatted.
  bool admits();
  /// Writes \p Line, which ends with a line feed. A line longer than the system
  /// writes at once is truncated.
  void write(std::string_view Line);
  /// Number of lines dropped so far.
  std::uint64_t droppedLines() const { return m_DroppedLines; }

private:
  bool isWritable() const;
  void reportDroppedLines();
  void writeOnce(std::string_view Line) const;

  BoundedOutputSettings m_Settings; ///< The configuration.
  Instant m_SecondStart{}; ///< Start of the second whose lines are counted.
  std::uint32_t m_LinesThisSecond = 0; ///< Calls of admits() in this second.
  std::uint64_t m_DroppedLines = 0;    ///< See droppedLines().
  std::uint64_t m_ReportedDroppedLines = 0; ///< Those already reported.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_BOUNDEDOUTPUT_H
