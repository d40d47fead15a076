#ifndef BENCH_CAPACITY_LEADERDRIVER_H
#define BENCH_CAPACITY_LEADERDRIVER_H

#include "bench/Capacity/StateFactory.h"
#include "ragwortmux/Version/ControlLeader.h"

#include <map>

namespace ragwortmux {

/// Time that a leader spent, in microseconds.
struct LeaderTimes final {
  double m_Tick = 0;         ///< Mean of a tick.
  double m_Announcement = 0; ///< Mean of an announcement.
  double m_Renewal = 0;      ///< Mean of a renewal with its quorum round.
  double m_PerSecond = 0;    ///< All of it per second of the leader's time.
};

/// Runs a ControlLeader on a state in which nothing fails: every server
/// announces itself every 100 ms and every session renews every 300 ms.
class LeaderDriver final {
public:
  explicit LeaderDriver(const StateSizes &Sizes);

  /// Lets \p Time pass for the leader and measures what it spends.
  LeaderTimes run(Duration Time);

  /// Commands proposed so far.
  std::uint64_t proposals() const { return m_Proposals; }

private:
  void announceAll(LeaderTimes &Times, std::uint64_t &Count);
  void renewAll(LeaderTimes &Times, std::uint64_t &Count);
  void takeActions();

  const StateSizes m_Sizes;                ///< Size of the state.
  ControlState m_State;                    ///< The state.
  ControlLeader m_Leader;                  ///< The leader.
  Instant m_Now{std::chrono::seconds(1)};  ///< Its time.
  std::uint64_t m_Sequence = 0;            ///< Of renewals.
  std::uint64_t m_Proposals = 0;           ///< So far.
  std::map<GroupId, Revision> m_Confirmed; ///< Of every session.
};

} // namespace ragwortmux

#endif // BENCH_CAPACITY_LEADERDRIVER_H
