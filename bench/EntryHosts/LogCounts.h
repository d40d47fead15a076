#ifndef BENCH_ENTRYHOSTS_LOGCOUNTS_H
#define BENCH_ENTRYHOSTS_LOGCOUNTS_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace ragwortmux {

/// Counts of the log lines of all processes of a run that tell of the control
/// leader and the leases.
class LogCounts final {
public:
  /// Lines before \p StartMs, in ms of the time of day, are left out; those
  /// after \p MiddleMs count as the second half.
  LogCounts(std::int64_t StartMs, std::int64_t MiddleMs)
      : m_StartMs(StartMs), m_MiddleMs(MiddleMs) {}

  /// Reads the lines of one process.
  void add(std::string_view Lines);
  /// Markdown rows of all counts and maxima, with one column for the whole
  /// load and one for its second half.
  std::string toMarkdownRows() const;

private:
  /// A count or maximum.
  struct Value final {
    std::int64_t m_All = 0;        ///< Of the whole load.
    std::int64_t m_SecondHalf = 0; ///< Of its second half.
  };

  void addLine(std::string_view Line);
  void count(const std::string &Name, std::int64_t TimeMs);
  void raise(const std::string &Name, std::int64_t TimeMs, std::int64_t Number);

  std::int64_t m_StartMs;                ///< Start of the load.
  std::int64_t m_MiddleMs;               ///< Middle of the load.
  std::map<std::string, Value> m_Values; ///< By name.
};

} // namespace ragwortmux

#endif // BENCH_ENTRYHOSTS_LOGCOUNTS_H
