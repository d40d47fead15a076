#ifndef BENCH_MEASURE_PROMISECHECK_H
#define BENCH_MEASURE_PROMISECHECK_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ragwortmux {

class Cluster;
class RunRecord;

/// Compares the observations of the clients with the logs of the backend
/// servers after a run and records violations in the RunRecord.
class PromiseCheck final {
public:
  PromiseCheck(Cluster &Target, RunRecord &Record);

  /// Checks all groups.
  void run();

  /// Number of bookings compared.
  std::uint64_t bookings() const { return m_Bookings; }
  /// Number of bookings whose outcome is unknown to the caller.
  std::uint64_t unknown() const { return m_Unknown; }
  /// Number of unknown bookings that had run.
  std::uint64_t unknownRan() const { return m_UnknownRan; }

private:
  /// A commit in the log of the last primary.
  struct Commit final {
    std::uint64_t m_Term = 0;     ///< Term of the primary that committed it.
    std::uint64_t m_Position = 0; ///< Log position.
    unsigned m_Rows = 0;          ///< Rows with the value in the transaction.
  };
  using Commits = std::multimap<std::string, Commit>; ///< By written value.

  bool readHistory(std::uint32_t Group, Commits &Found);
  void checkBookings(std::uint32_t Group, const Commits &Found);
  void checkRecords(std::uint32_t Group);
  void checkConnections(std::uint32_t Group);

  Cluster &m_Cluster;             ///< Cluster with the backend servers.
  RunRecord &m_Record;            ///< Observations of the clients.
  std::uint64_t m_Bookings = 0;   ///< Bookings compared.
  std::uint64_t m_Unknown = 0;    ///< Outcome unknown to the caller.
  std::uint64_t m_UnknownRan = 0; ///< Unknown ones that had run.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_PROMISECHECK_H
