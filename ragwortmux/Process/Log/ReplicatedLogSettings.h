#ifndef RAGWORTMUX_PROCESS_LOG_REPLICATEDLOGSETTINGS_H
#define RAGWORTMUX_PROCESS_LOG_REPLICATEDLOGSETTINGS_H

#include "ragwortmux/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace ragwortmux {

/// Settings of a ReplicatedLog; the same on all members.
struct ReplicatedLogSettings final {
  /// Between two heartbeats of a leader.
  Duration m_HeartbeatInterval = std::chrono::milliseconds(50);
  /// A follower that hears nothing for a random time between this and
  /// m_ElectionTimeoutMax starts an election. It grants no vote before this
  /// much silence.
  Duration m_ElectionTimeoutMin = std::chrono::milliseconds(300);
  /// See m_ElectionTimeoutMin.
  Duration m_ElectionTimeoutMax = std::chrono::milliseconds(600);
  /// A leader steps down if no quorum has answered a message sent within this
  /// time. Less than m_ElectionTimeoutMin, so that it has stopped before the
  /// next one starts.
  Duration m_CheckQuorumTimeout = std::chrono::milliseconds(250);
  /// A snapshot that is not answered is sent again after this time.
  Duration m_SnapshotRetryInterval = std::chrono::seconds(2);
  /// Entries in one AppendRequest.
  std::size_t m_MaxAppendEntries = 256;
  /// Payload bytes in one AppendRequest; one larger entry goes alone.
  std::size_t m_MaxAppendBytes = std::size_t{1} << 20;
  /// Payload bytes of one proposal.
  std::size_t m_MaxPayloadBytes = std::size_t{4} << 20;
  /// Entries sent to one member and not yet answered.
  std::size_t m_MaxInFlightEntries = 2048;
  /// Proposals are refused while so many entries are not committed.
  std::size_t m_MaxUncommittedEntries = 16384;
  /// Proposals are refused while own entries of so many payload bytes are not
  /// committed.
  std::size_t m_MaxUncommittedBytes = std::size_t{64} << 20;
  /// Entries kept in memory and on disk before a snapshot's last one, so that a
  /// member that is only a little behind needs no snapshot.
  std::size_t m_TrailingEntries = 1024;
  /// A learner may get its vote once it is at most so many entries behind.
  std::size_t m_CatchUpEntries = 64;
  /// Random numbers, uniform over all 64 bits. Required.
  std::function<std::uint64_t()> m_Random;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_REPLICATEDLOGSETTINGS_H
