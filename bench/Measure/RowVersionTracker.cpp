#include "bench/Measure/RowVersionTracker.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ragwortmux {

namespace {

constexpr int MaxRowTries = 20;

} // namespace

RowVersionTracker::RowVersionTracker(std::string Prefix, std::uint32_t Rows)
    : m_Prefix(std::move(Prefix)), m_Rows(Rows) {}

std::optional<RowVersionTracker::Write>
RowVersionTracker::beginWrite(Random &Numbers) {
  const std::lock_guard Guard(m_Lock);
  for (int Try = 0; Try < MaxRowTries; ++Try) {
    const auto Index = static_cast<std::uint32_t>(Numbers() % m_Rows.size());
    Row &Found = m_Rows[Index];
    if (Found.m_IsLocked) {
      continue;
    }
    Found.m_IsLocked = true;
    return Write{Index, ++Found.m_LastVersion};
  }
  return std::nullopt;
}

void RowVersionTracker::recordAcknowledgement(const Write &Done,
                                              Clock::time_point At) {
  const std::lock_guard Guard(m_Lock);
  Row &Found = m_Rows[Done.m_Row];
  Found.m_Acknowledged.push_back({At, Done.m_Version});
  Found.m_IsAnswered = true;
  Found.m_IsLocked = false;
}

void RowVersionTracker::recordNotRun(const Write &Done) {
  const std::lock_guard Guard(m_Lock);
  m_Rows[Done.m_Row].m_IsLocked = false;
}

void RowVersionTracker::recordUnknownOutcome(const Write &) {
  // The row stays locked: a late commit of this write could overwrite a newer
  // version.
}

bool RowVersionTracker::recordSessionAnswer(std::uint32_t Index) {
  const std::lock_guard Guard(m_Lock);
  return std::exchange(m_Rows[Index].m_IsAnswered, true);
}

std::uint32_t RowVersionTracker::pickRow(Random &Numbers) const {
  return static_cast<std::uint32_t>(Numbers() % m_Rows.size());
}

std::uint64_t
RowVersionTracker::acknowledgedVersion(std::uint32_t Index,
                                       Clock::time_point At) const {
  const std::lock_guard Guard(m_Lock);
  const auto &List = m_Rows[Index].m_Acknowledged;
  const auto After =
      std::ranges::upper_bound(List, At, std::less(), &Acknowledgement::m_At);
  return After == List.begin() ? 0 : std::prev(After)->m_Version;
}

std::string RowVersionTracker::key(std::uint32_t Index) const {
  return m_Prefix + std::to_string(Index);
}

std::string RowVersionTracker::value(const Write &Given) const {
  return key(Given.m_Row) + ":" + std::to_string(Given.m_Version);
}

std::optional<std::uint64_t>
RowVersionTracker::parseVersion(std::uint32_t Index,
                                const std::string &Value) const {
  const std::string Start = key(Index) + ":";
  if (!Value.starts_with(Start)) {
    return std::nullopt;
  }
  std::uint64_t Version = 0;
  const char *const End = Value.data() + Value.size();
  const auto Parsed =
      std::from_chars(Value.data() + Start.size(), End, Version);
  if (Parsed.ec != std::errc() || Parsed.ptr != End) {
    return std::nullopt;
  }
  return Version;
}

} // namespace ragwortmux
