#ifndef BENCH_CAPACITY_GROUPCOREDRIVER_H
#define BENCH_CAPACITY_GROUPCOREDRIVER_H

#include "ragwortmux/Request/GroupCore.h"

#include <cstdint>

namespace ragwortmux {

/// Drives a GroupCore with fake backend servers, request ledger and session
/// homes that answer without delay.
class GroupCoreDriver final {
public:
  /// \p Connections is the connection share at each of the three servers.
  explicit GroupCoreDriver(std::uint32_t Connections);

  /// Runs \p Count requests of one class in sequence and returns the mean time
  /// per request in microseconds, including the time of this driver.
  double measureMeanTime(TrafficClass Class, bool Keyed, std::uint32_t Count);
  /// Submits \p Count requests whose statements are never answered, so that
  /// requests beyond the connections wait.
  void submitWaiting(std::uint32_t Count);

  /// Number of requests answered without an error.
  std::uint64_t answers() const { return m_Answers; }

private:
  GroupRequest makeRequest(TrafficClass Class, bool Keyed);
  void runRequest(GroupRequest Request);
  void processActions();
  void handle(const OpenConnection &Action);
  void handle(const SendStatement &Action);
  void handle(const Answer &Action);
  void handle(const ReserveRequestKey &Action);
  void handle(const RecordKeyOutcome &Action);
  void handle(const FindSessionPoint &Action);
  void handle(const StoreSessionPoint &Action);
  void handle(const CloseConnection &Action);
  template <typename Other> void handle(const Other &) {}
  void sampleAll();

  GroupCore m_Core;                       ///< Core under measurement.
  GroupActions m_Actions;                 ///< Pending actions.
  Instant m_Now{std::chrono::seconds(1)}; ///< Simulated time.
  LogPosition m_Position{1};              ///< Log position of all servers.
  bool m_IsWrite = false;          ///< True if the current requests are writes.
  bool m_AnswersStatements = true; ///< False: statements get no answer.
  std::uint64_t m_LastId = 0;      ///< Id of the last request.
  std::uint64_t m_Answers = 0;     ///< Answers without an error.
};

} // namespace ragwortmux

#endif // BENCH_CAPACITY_GROUPCOREDRIVER_H
