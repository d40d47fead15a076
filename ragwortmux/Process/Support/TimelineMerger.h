#ifndef RAGWORTMUX_PROCESS_SUPPORT_TIMELINEMERGER_H
#define RAGWORTMUX_PROCESS_SUPPORT_TIMELINEMERGER_H

#include "ragwortmux/Process/Support/TimelineEvent.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ragwortmux {

/// Selects events of the time line; a member that is not set matches all.
struct TimelineFilter final {
  std::optional<std::string> m_Request; ///< Events of this request.
  std::optional<GroupId> m_Group;       ///< Events of this group.
  std::optional<EventKind> m_Kind;      ///< Events of this kind.

  /// True if \p Event matches all members that are set.
  bool matches(const TimelineEvent &Event) const;
};

/// Merges the time lines of several processes into one.
class TimelineMerger final {
public:
  explicit TimelineMerger(TimelineFilter Filter);

  /// Reads \p Path: a time line file, or a folder with all its `.jsonl` files.
  /// False if it cannot be read.
  bool add(const std::filesystem::path &Path);

  /// All matching events in clock order; events of the same time are ordered by
  /// host.
  std::vector<TimelineEvent> merge() const;

  /// Number of lines that could not be parsed, such as a last line truncated by
  /// a crash.
  std::uint64_t unreadableLines() const { return m_UnreadableLines; }

private:
  bool addFile(const std::filesystem::path &Path);

  TimelineFilter m_Filter;             ///< Selects the events.
  std::vector<TimelineEvent> m_Events; ///< Matching events, in file order.
  std::uint64_t m_UnreadableLines = 0; ///< Lines that could not be parsed.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_TIMELINEMERGER_H
