#include "bench/Measure/RowBook.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ragwortmux {

namespace {

constexpr int RowTries = 20;

} // namespace

RowBook::RowBook(std::string Prefix, std::uint32_t Rows)
    : m_Prefix(std::move(Prefix)), m_Rows(Rows) {}

std::optional<RowBook::Write> RowBook::beginWrite(Random &Numbers) {
  const std::lock_guard Guard(m_Lock);
  for (int Try = 0; Try < RowTries; ++Try) {
    const auto Index = static_cast<std::uint32_t>(Numbers() % m_Rows.size());
    Row &Found = m_Rows[Index];
    if (Found.m_Taken) {
      continue;
    }
    Found.m_Taken = true;
    return Write{Index, ++Found.m_Last};
  }
  return std::nullopt;
}

void RowBook::acknowledged(const Write &Done, Clock::time_point At) {
  const std::lock_guard Guard(m_Lock);
  Row &Found = m_Rows[Done.m_Row];
  Found.m_Acknowledged.push_back({At, Done.m_Version});
  Found.m_Known = true;
  Found.m_Taken = false;
}

void RowBook::notRun(const Write &Done) {
  const std::lock_guard Guard(m_Lock);
  m_Rows[Done.m_Row].m_Taken = false;
}

void RowBook::unknown(const Write &) {
  // The row stays locked: a late commit of this write could overwrite a newer
  // version.
}

bool RowBook::noteAnswer(std::uint32_t Index) {
  const std::lock_guard Guard(m_Lock);
  return std::exchange(m_Rows[Index].m_Known, true);
}

std::uint32_t RowBook::pickRow(Random &Numbers) const {
  return static_cast<std::uint32_t>(Numbers() % m_Rows.size());
}

std::uint64_t RowBook::acknowledgedVersion(std::uint32_t Index,
                                           Clock::time_point At) const {
  const std::lock_guard Guard(m_Lock);
  const auto &List = m_Rows[Index].m_Acknowledged;
  const auto After =
      std::ranges::upper_bound(List, At, std::less(), &Acknowledgement::m_At);
  return After == List.begin() ? 0 : std::prev(After)->m_Version;
}

std::string RowBook::key(std::uint32_t Index) const {
  return m_Prefix + std::to_string(Index);
}

std::string RowBook::value(const Write &Given) const {
  return key(Given.m_Row) + ":" + std::to_string(Given.m_Version);
}

std::optional<std::uint64_t>
RowBook::parseVersion(std::uint32_t Index, const std::string &Value) const {
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
