#include "bench/Measure/PromiseCheck.h"

#include "bench/Measure/Cluster.h"
#include "bench/Measure/RunRecord.h"

#include <fstream>
#include <set>
#include <sstream>

namespace ragwortmux {

namespace {

constexpr std::string_view ValueStart = "SET v = '";
constexpr unsigned RowsOfBooking = 2;

/// Counts how often the SQL of a transaction writes each value.
std::map<std::string, unsigned>
countWrittenValues(const std::string &Statements) {
  std::map<std::string, unsigned> Values;
  std::size_t Begin = Statements.find(ValueStart);
  while (Begin != std::string::npos) {
    Begin += ValueStart.size();
    const std::size_t End = Statements.find('\'', Begin);
    ++Values[Statements.substr(Begin, End - Begin)];
    Begin = Statements.find(ValueStart, End);
  }
  return Values;
}

/// True unless the value belongs to a meter row; only repeatable writes change
/// those.
bool isBooking(const std::string &Value) { return !Value.starts_with('m'); }

} // namespace

PromiseCheck::PromiseCheck(Cluster &Target, RunRecord &Record)
    : m_Cluster(Target), m_Record(Record) {}

void PromiseCheck::run() {
  for (std::uint32_t Group = 0; Group < m_Cluster.workload().m_Groups;
       ++Group) {
    Commits Found;
    if (readHistory(Group, Found)) {
      checkBookings(Group, Found);
    }
    checkRecords(Group);
    checkConnections(Group);
  }
}

bool PromiseCheck::readHistory(std::uint32_t Group, Commits &Found) {
  const auto Primary = m_Cluster.findPrimary(Group);
  const auto Rows =
      Primary ? m_Cluster.queryServer(Group, *Primary, "SELECT standin_log(0)")
              : std::vector<std::vector<std::string>>();
  if (Rows.empty()) {
    m_Record.recordViolation("a primary at the end of the run",
                             m_Cluster.groupName(Group));
    return false;
  }
  constexpr std::size_t StatementsColumn = 4;
  for (const auto &Row : Rows) {
    if (Row.size() <= StatementsColumn) {
      continue;
    }
    const auto Values = countWrittenValues(Row[StatementsColumn]);
    if (Values.size() > 1) {
      m_Record.recordViolation("a transaction of its own",
                               m_Cluster.groupName(Group) + ": " +
                                   Row[StatementsColumn]);
    }
    for (const auto &[Value, Count] : Values) {
      Found.emplace(Value,
                    Commit{std::stoull(Row[0]), std::stoull(Row[1]), Count});
    }
  }
  return true;
}

void PromiseCheck::checkBookings(std::uint32_t Group, const Commits &Found) {
  for (const BookingRecord &Booking : m_Record.bookings(Group)) {
    ++m_Bookings;
    const std::string Context = m_Cluster.groupName(Group) + " " +
                                Booking.m_Value + ", answers " +
                                Booking.m_Answers;
    const auto Range = Found.equal_range(Booking.m_Value);
    const auto Count = std::distance(Range.first, Range.second);
    if (Count > 1) {
      m_Record.recordViolation(
          "at most once", Context + ": " + std::to_string(Count) + " commits");
    }
    for (auto Commit = Range.first; Commit != Range.second; ++Commit) {
      if (Commit->second.m_Rows != RowsOfBooking) {
        m_Record.recordViolation("stock and deposit together", Context);
      }
    }
    switch (Booking.m_Outcome) {
    case BookingOutcome::Acknowledged:
      if (Count == 0) {
        m_Record.recordViolation("no acknowledged booking lost", Context);
      }
      break;
    case BookingOutcome::NotRun:
      if (Count > 0) {
        m_Record.recordViolation("not run means not run", Context);
      }
      break;
    case BookingOutcome::Unknown:
      ++m_Unknown;
      m_UnknownRan += Count > 0 ? 1 : 0;
      break;
    }
  }
}

void PromiseCheck::checkRecords(std::uint32_t Group) {
  std::set<std::string> Acknowledged;
  for (const BookingRecord &Booking : m_Record.bookings(Group)) {
    if (Booking.m_Outcome == BookingOutcome::Acknowledged) {
      Acknowledged.insert(Booking.m_Value);
    }
  }
  // The record files contain each commit as primary, including commits that a
  // failover discarded.
  std::map<std::string, std::string> Points;
  for (std::uint32_t Server = 0; Server < m_Cluster.workload().m_Servers;
       ++Server) {
    std::ifstream File(m_Cluster.recordFile(Group, Server));
    for (std::string Line; std::getline(File, Line);) {
      std::istringstream Fields(Line);
      std::string Term;
      std::string Position;
      Fields >> Term >> Position;
      const std::string Point = Term.append(":").append(Position);
      for (const auto &Pair : countWrittenValues(Line)) {
        const auto FirstSeen = Points.emplace(Pair.first, Point).first;
        if (FirstSeen->second != Point && isBooking(Pair.first) &&
            Acknowledged.contains(Pair.first)) {
          m_Record.recordViolation("not acknowledged by two primaries",
                                   m_Cluster.groupName(Group) + " " +
                                       Pair.first + " at " + FirstSeen->second +
                                       " and " + Point);
        }
      }
    }
  }
}

void PromiseCheck::checkConnections(std::uint32_t Group) {
  const Workload &UserWorkload = m_Cluster.workload();
  for (std::uint32_t Server = 0; Server < UserWorkload.m_Servers; ++Server) {
    for (const auto &Row :
         m_Cluster.queryServer(Group, Server, "SELECT standin_stats()")) {
      if (Row.size() == 2 && Row[0] == "connections_peak" &&
          std::stoull(Row[1]) > UserWorkload.m_Connections) {
        m_Record.recordViolation("connections within the limit",
                                 m_Cluster.groupName(Group) + " server " +
                                     std::to_string(Server) + ": " + Row[1]);
      }
    }
  }
}

} // namespace ragwortmux
