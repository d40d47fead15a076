#ifndef RAGWORTMUX_PROCESS_SUPPORT_LOGEXPLAINER_H
#define RAGWORTMUX_PROCESS_SUPPORT_LOGEXPLAINER_H

#include <cstdint>
#include <deque>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// Explains the outcome of a statement from the JSON logs of any number of
/// processes: every decision on the statement in order of time, each preceded
/// by the last lines without a statement id that its process logged, and
/// finally the cause that the result code of the last decision stands for.
class LogExplainer final {
public:
  /// \p Id: the statement's id.
  explicit LogExplainer(std::string Id);

  /// Reads log lines, each of which is one JSON object. If text precedes the
  /// object, its last word is the name of the process; otherwise \p Source is.
  /// Lines without a JSON object are skipped.
  void add(std::istream &Lines, const std::string &Source);

  /// Returns the lines of the explanation; empty if no decision has the
  /// statement's id.
  std::vector<std::string> explain() const;

private:
  /// A log line that is part of the explanation.
  struct LogEntry final {
    std::int64_t m_TimeMs = 0; ///< Wall-clock time at the process.
    std::string m_Process;     ///< Process that wrote the line.
    bool m_IsDecision = false; ///< False for a context line.
    std::string m_Cause;       ///< Decision: the cause that it names.
    std::string m_Text;        ///< Text to print.
  };

  void addLine(std::string_view Line, const std::string &Source);
  std::vector<const LogEntry *>
  precedingContext(const LogEntry &Decision) const;

  std::string m_Id;                ///< Id of the statement.
  std::vector<LogEntry> m_Entries; ///< In the order read.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_LOGEXPLAINER_H
