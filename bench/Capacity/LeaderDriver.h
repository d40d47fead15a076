#ifndef BENCH_CAPACITY_LEADERDRIVER_H
#define BENCH_CAPACITY_LEADERDRIVER_H

#include "bench/Capacity/StateFactory.h"
#include "ragwortmux/Version/ControlLeader.h"

#include <map>
#include <set>

namespace ragwortmux {

/// Run times of a leader, in microseconds of real time.
struct LeaderTimes final {
  double m_Tick = 0;         ///< Mean per tick.
  double m_Announcement = 0; ///< Mean per announcement.
  double m_Renewal = 0;      ///< Mean per renewal with its quorum round.
  double m_PerSecond = 0;    ///< Total per second of simulated time.
};

/// Runs a ControlLeader in simulated time without failures: each server
/// announces itself every 100 ms and each session renews its lease every 300
/// ms. A session serves the groups at whose servers fillState() gives it
/// shares.
class LeaderDriver final {
public:
  explicit LeaderDriver(const StateSizes &Sizes);

  /// Advances the simulated time by \p Time and measures the run time of the
  /// leader.
  LeaderTimes run(Duration Time);

  /// Commands proposed so far.
  std::uint64_t proposals() const { return m_Proposals; }

private:
  void announceAll(LeaderTimes &Times, std::uint64_t &Count);
  void renewAll(LeaderTimes &Times, std::uint64_t &Count);
  void processActions();

  const StateSizes m_Sizes;               ///< Sizes of the state.
  ControlState m_State;                   ///< Replicated state.
  ControlLeader m_Leader;                 ///< Leader under measurement.
  Instant m_Now{std::chrono::seconds(1)}; ///< Simulated time.
  std::uint64_t m_Sequence = 0;           ///< Of the last renewals.
  std::uint64_t m_Proposals = 0;          ///< Commands so far.
  std::map<ControlSessionId, std::set<GroupId>>
      m_Served; ///< Groups that each session serves.
  std::map<GroupId, Revision>
      m_Confirmed; ///< Revisions that each session confirms.
};

} // namespace ragwortmux

#endif // BENCH_CAPACITY_LEADERDRIVER_H
