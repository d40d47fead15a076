#include "bench/Measure/RunRecord.h"

#include <algorithm>

namespace ragwortmux {

namespace {

constexpr std::size_t MaxRecordedViolations = 50;

std::size_t indexOf(LoadClass Class) { return static_cast<std::size_t>(Class); }

} // namespace

RunRecord::RunRecord(std::uint32_t Groups) : m_Groups(Groups) {}

void RunRecord::recordAnswer(LoadClass Class, unsigned Code, Duration Latency) {
  const std::lock_guard Guard(m_Lock);
  ++m_Codes[indexOf(Class)][Code];
  // Refusals are fast and would lower the quantiles of executed requests.
  if (Code == 0) {
    m_Latency[indexOf(Class)].add(Latency);
  }
}

void RunRecord::recordRead(LoadClass Class, bool ByReplica, bool NewSession) {
  const std::lock_guard Guard(m_Lock);
  m_FirstReads += NewSession && !ByReplica ? 1 : 0;
  ++(ByReplica ? m_ReplicaReads : m_PrimaryReads)[indexOf(Class)];
}

void RunRecord::recordBooking(std::uint32_t Number, BookingRecord Booking,
                              Clock::time_point At) {
  const std::lock_guard Guard(m_Lock);
  Group &Found = m_Groups[Number];
  if (Booking.m_Outcome == BookingOutcome::Acknowledged) {
    Found.m_Acknowledged.push_back(At);
  }
  Found.m_Bookings.push_back(std::move(Booking));
}

void RunRecord::recordResend(bool Deliberate) {
  const std::lock_guard Guard(m_Lock);
  ++(Deliberate ? m_DeliberateResends : m_Resends);
}

void RunRecord::recordOverflow() {
  const std::lock_guard Guard(m_Lock);
  ++m_Overflows;
}

void RunRecord::recordViolation(const std::string &Promise,
                                const std::string &Detail) {
  const std::lock_guard Guard(m_Lock);
  ++m_ViolationCount;
  if (m_Violations.size() < MaxRecordedViolations) {
    m_Violations.push_back({Promise, Detail});
  }
}

std::uint64_t RunRecord::answers() const {
  const std::lock_guard Guard(m_Lock);
  std::uint64_t Count = 0;
  for (const Codes &Class : m_Codes) {
    for (const auto &Pair : Class) {
      Count += Pair.second;
    }
  }
  return Count;
}

Duration RunRecord::longestGap(std::uint32_t Number, Clock::time_point From,
                               Clock::time_point To) const {
  const std::lock_guard Guard(m_Lock);
  auto Times = m_Groups[Number].m_Acknowledged;
  std::ranges::sort(Times);
  // The first gap starts at the last acknowledgement at or before From.
  const auto After = std::ranges::upper_bound(Times, From);
  Clock::time_point Last = After == Times.begin() ? From : *std::prev(After);
  Clock::duration Longest{0};
  for (auto Time = After; Time != Times.end(); ++Time) {
    if (Last > To) {
      break;
    }
    Longest = std::max(Longest, *Time - Last);
    Last = *Time;
  }
  if (Last < To) {
    Longest = std::max(Longest, To - Last);
  }
  return std::chrono::duration_cast<Duration>(Longest);
}

const LatencyHistogram &RunRecord::latency(LoadClass Class) const {
  return m_Latency[indexOf(Class)];
}

const RunRecord::Codes &RunRecord::codes(LoadClass Class) const {
  return m_Codes[indexOf(Class)];
}

std::uint64_t RunRecord::replicaReads(LoadClass Class) const {
  return m_ReplicaReads[indexOf(Class)];
}

std::uint64_t RunRecord::primaryReads(LoadClass Class) const {
  return m_PrimaryReads[indexOf(Class)];
}

const std::vector<BookingRecord> &
RunRecord::bookings(std::uint32_t Number) const {
  return m_Groups[Number].m_Bookings;
}

} // namespace ragwortmux
