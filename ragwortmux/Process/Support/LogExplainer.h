#ifndef RAGWORTMUX_PROCESS_SUPPORT_LOGEXPLAINER_H
#define RAGWORTMUX_PROCESS_SUPPORT_LOGEXPLAINER_H

#include <cstdint>
#include <deque>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// Tells a statement's story from the JSON logs of any number of processes:
/// each decision on it in order of time, with what its process had come to
/// believe before, and the cause that its last decision names.
class LogExplainer final {
public:
  /// \p Id: the statement's id.
  explicit LogExplainer(std::string Id);

  /// Reads lines: a JSON object each, which text may precede whose last word
  /// names the process; else \p Source does. Other lines are passed over.
  void add(std::istream &Lines, const std::string &Source);

  /// The story, a line each; empty if no line names the statement.
  std::vector<std::string> explain() const;

private:
  /// One line that matters.
  struct LogEntry final {
    std::int64_t m_TimeMs = 0; ///< Time of day at the process.
    std::string m_Process;     ///< Who wrote it.
    bool m_IsDecision = false; ///< About the statement; else a belief.
    std::int64_t m_Code = 0;   ///< Decision: its result code.
    std::string m_Text;        ///< For people.
  };

  void addLine(std::string_view Line, const std::string &Source);
  std::vector<const LogEntry *>
  precedingContext(const LogEntry &Decision) const;

  std::string m_Id;                ///< The statement.
  std::vector<LogEntry> m_Entries; ///< In the order read.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_LOGEXPLAINER_H
