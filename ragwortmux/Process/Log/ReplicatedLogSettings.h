#ifndef RAGWORTMUX_PROCESS_LOG_REPLICATEDLOGSETTINGS_H
#define RAGWORTMUX_PROCESS_LOG_REPLICATEDLOGSETTINGS_H

#include "ragwortmux/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace ragwortmux {

/// Settings of a ReplicatedLog. All members of one log use the same values.
struct ReplicatedLogSettings final {
  /// Interval between two heartbeats of a leader.
  Duration m_HeartbeatInterval = std::chrono::milliseconds(50);
  /// A follower starts an election if no message of a leader has arrived for a
  /// random time between this and m_ElectionTimeoutMax. It grants no vote
  /// within this time after the last message of a leader.
  Duration m_ElectionTimeoutMin = std::chrono::milliseconds(300);
  /// Upper bound of the random election timeout; see m_ElectionTimeoutMin.
  Duration m_ElectionTimeoutMax = std::chrono::milliseconds(600);
  /// A leader steps down if no heartbeat round started within this time has
  /// been answered by a quorum. Must be less than m_ElectionTimeoutMin, so that
  /// the old leader has stepped down before another one can be elected.
  Duration m_CheckQuorumTimeout = std::chrono::milliseconds(250);
  /// A snapshot that has not been acknowledged is sent again after this time.
  Duration m_SnapshotRetryInterval = std::chrono::seconds(2);
  /// Maximum number of entries in one AppendRequest.
  std::size_t m_MaxAppendEntries = 256;
  /// Maximum payload bytes in one AppendRequest. A larger entry is sent in a
  /// request of its own.
  std::size_t m_MaxAppendBytes = std::size_t{1} << 20;
  /// Maximum payload bytes of one proposal.
  std::size_t m_MaxPayloadBytes = std::size_t{4} << 20;
  /// Maximum number of entries sent to one member and not yet acknowledged.
  std::size_t m_MaxInFlightEntries = 2048;
  /// Maximum payload bytes sent to one member and not yet acknowledged. An
  /// entry that is larger is sent while nothing else is under way.
  std::size_t m_MaxInFlightBytes = std::size_t{2} << 20;
  /// Proposals are refused while at least this many entries are uncommitted.
  std::size_t m_MaxUncommittedEntries = 16384;
  /// Proposals are refused while the leader's uncommitted entries have at least
  /// this many payload bytes.
  std::size_t m_MaxUncommittedBytes = std::size_t{16} << 20;
  /// Maximum number of entries in one ApplyEntries action. A leader that
  /// applies its whole log at once after a restart sends no heartbeats
  /// meanwhile.
  std::size_t m_MaxApplyEntries = 256;
  /// Number of entries retained in memory and on disk that precede the last
  /// entry of a snapshot, so that a member with a small lag needs no snapshot.
  std::size_t m_TrailingEntries = 1024;
  /// Maximum payload bytes of these entries.
  std::size_t m_TrailingBytes = std::size_t{4} << 20;
  /// A learner can be promoted to voter once it lags by at most this many
  /// entries.
  std::size_t m_CatchUpEntries = 64;
  /// Returns random numbers, uniform over all 64 bits. Required.
  std::function<std::uint64_t()> m_Random;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_REPLICATEDLOGSETTINGS_H
