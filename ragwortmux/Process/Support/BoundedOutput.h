#ifndef RAGWORTMUX_PROCESS_SUPPORT_BOUNDEDOUTPUT_H
#define RAGWORTMUX_PROCESS_SUPPORT_BOUNDEDOUTPUT_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace ragwortmux {

/// How much a BoundedOutput writes.
struct BoundedOutputSettings final {
  int m_Descriptor = 1;               ///< Where lines go; 1: standard output.
  std::uint32_t m_LinesPerSecond = 0; ///< Lines a second at most; 0: no limit.
  std::function<Instant()> m_Now;     ///< The clock. Required.
};

/// Writes whole lines to a descriptor and never waits for it: a line that its
/// reader has no room for, or that is above the limit, is left out and counted.
///
/// Not safe for several threads at once.
class BoundedOutput final {
public:
  explicit BoundedOutput(BoundedOutputSettings Settings);

  /// True if another line may be written in this second; else one more counts
  /// as left out. To be asked once before each line is made.
  bool admits();
  /// Writes \p Line, whose end is included. A longer one than the system writes
  /// at once is cut.
  void write(std::string_view Line);
  /// Lines left out so far.
  std::uint64_t droppedLines() const { return m_DroppedLines; }

private:
  bool isWritable() const;
  void reportDroppedLines();
  void writeOnce(std::string_view Line) const;

  BoundedOutputSettings m_Settings;    ///< As given.
  Instant m_SecondStart{};             ///< Start of the second that is counted.
  std::uint32_t m_LinesThisSecond = 0; ///< Lines in it.
  std::uint64_t m_DroppedLines = 0;    ///< See droppedLines().
  std::uint64_t m_ReportedDroppedLines =
      0; ///< Of these, those that a line told of.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_BOUNDEDOUTPUT_H
