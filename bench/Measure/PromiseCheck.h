#ifndef BENCH_MEASURE_PROMISECHECK_H
#define BENCH_MEASURE_PROMISECHECK_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ragwortmux {

class Cluster;
class RunRecord;

/// Compares what the clients saw with the logs of the backend servers after a
/// run. What it finds broken goes into the RunRecord.
class PromiseCheck final {
public:
  PromiseCheck(Cluster &Target, RunRecord &Record);

  /// Checks all groups.
  void run();

  /// Bookings that were compared.
  std::uint64_t bookings() const { return m_Bookings; }
  /// Bookings whose outcome stayed unknown, and how many of them had run.
  std::uint64_t unknown() const { return m_Unknown; }
  std::uint64_t unknownRan() const { return m_UnknownRan; }

private:
  /// A commit in the history that survived.
  struct Commit final {
    std::uint64_t m_Term = 0;     ///< Term of its primary.
    std::uint64_t m_Position = 0; ///< Its position.
    unsigned m_Rows = 0;          ///< Rows of the booking in the transaction.
  };
  using Commits = std::multimap<std::string, Commit>; ///< By value written.

  bool readHistory(std::uint32_t Group, Commits &Found);
  void checkBookings(std::uint32_t Group, const Commits &Found);
  void checkRecords(std::uint32_t Group);
  void checkConnections(std::uint32_t Group);

  Cluster &m_Cluster;             ///< The servers.
  RunRecord &m_Record;            ///< What the clients saw.
  std::uint64_t m_Bookings = 0;   ///< Compared.
  std::uint64_t m_Unknown = 0;    ///< Unknown to the client.
  std::uint64_t m_UnknownRan = 0; ///< Of those, found in the history.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_PROMISECHECK_H
