#include "ragwortmux/Process/Support/TimelineMerger.h"

#include <algorithm>
#include <fstream>
#include <system_error>
#include <tuple>
#include <utility>

namespace ragwortmux {

bool TimelineFilter::matches(const TimelineEvent &Event) const {
  return (!m_Request || *m_Request == Event.m_Request) &&
         (!m_Group || *m_Group == Event.m_Group) &&
         (!m_Kind || *m_Kind == Event.m_Kind);
}

TimelineMerger::TimelineMerger(TimelineFilter Filter)
    : m_Filter(std::move(Filter)) {}

bool TimelineMerger::add(const std::filesystem::path &Path) {
  std::error_code Error;
  if (!std::filesystem::is_directory(Path, Error))
    return addFile(Path);

  std::filesystem::directory_iterator Files(Path, Error);
  if (Error)
    return false;
  bool AreAllRead = true;
  for (const std::filesystem::directory_entry &File : Files) {
    if (File.path().extension() != ".jsonl")
      continue;
    AreAllRead = addFile(File.path()) && AreAllRead;
  }
  return AreAllRead;
}

std::vector<TimelineEvent> TimelineMerger::merge() const {
  std::vector<TimelineEvent> Events = m_Events;
  std::ranges::stable_sort(
      Events, [](const TimelineEvent &Left, const TimelineEvent &Right) {
        return std::tie(Left.m_Clock, Left.m_Host) <
               std::tie(Right.m_Clock, Right.m_Host);
      });
  return Events;
}

bool TimelineMerger::addFile(const std::filesystem::path &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return false;
  std::string Line;
  while (std::getline(File, Line)) {
    if (Line.empty())
      continue;
    std::optional<TimelineEvent> Event = parseTimelineJson(Line);
    if (!Event) {
      ++m_UnreadableLines;
      continue;
    }
    if (m_Filter.matches(*Event))
      m_Events.push_back(std::move(*Event));
  }
  return !File.bad();
}

} // namespace ragwortmux
