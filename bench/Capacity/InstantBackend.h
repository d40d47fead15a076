#ifndef BENCH_CAPACITY_INSTANTBACKEND_H
#define BENCH_CAPACITY_INSTANTBACKEND_H

#include "ragwortmux/Request/GroupCore.h"

#include <cstdint>

namespace ragwortmux {

/// A GroupCore whose backend servers, ledger and session homes answer at once.
class InstantBackend final {
public:
  /// \p Connections is the share of connections to each of three servers.
  explicit InstantBackend(std::uint32_t Connections);

  /// Runs requests of one class, one after the other, and returns the mean
  /// time of one in microseconds, this fake included.
  double meanTime(TrafficClass Class, bool Keyed, std::uint32_t Count);
  /// Submits requests that wait for a connection; \p Count in all.
  void submitWaiting(std::uint32_t Count);

  /// Requests answered without an error.
  std::uint64_t answers() const { return m_Answers; }

private:
  GroupRequest make(TrafficClass Class, bool Keyed);
  void run(GroupRequest Request);
  void pump();
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

  GroupCore m_Core;                       ///< What is measured.
  GroupActions m_Actions;                 ///< Not handled yet.
  Instant m_Now{std::chrono::seconds(1)}; ///< Its time.
  LogPosition m_Position{1};              ///< Of all servers.
  bool m_IsWrite = false;                 ///< Kind of the current request.
  bool m_Answering = true;                ///< False: statements hang.
  std::uint64_t m_LastId = 0;             ///< Of requests.
  std::uint64_t m_Answers = 0;            ///< Without an error.
};

} // namespace ragwortmux

#endif // BENCH_CAPACITY_INSTANTBACKEND_H
