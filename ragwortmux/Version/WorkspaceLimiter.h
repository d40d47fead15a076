#ifndef RAGWORTMUX_VERSION_WORKSPACELIMITER_H
#define RAGWORTMUX_VERSION_WORKSPACELIMITER_H

#include "ragwortmux/Version/PermitMessages.h"
#include "ragwortmux/Version/ProxyLease.h"
#include "ragwortmux/Version/Workspace.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace ragwortmux {

/// Bounds of the rate limits of all workspaces.
struct WorkspaceLimiterSettings final {
  Duration m_Window{0};        ///< Length of a window; 0: not enforced.
  std::uint32_t m_Overage = 0; ///< Excess over a limit in 1/10000 of it.
  std::uint32_t m_Slack = 0;   ///< Further excess, in operations.
  DriftBound m_Drift;          ///< Bound on the drift between clocks.
};

/// Issues permits for the operations of limited workspaces, at the control
/// leader, from one token bucket for each workspace.
///
/// In any window, hosts use at most bound() permits: those issued in the window
/// or within one validity before it. A bucket of capacity C and refill rate R
/// issues at most C + R * T in a time T, so C + R * (window + validity) must
/// not exceed the bound. The validity and the drift margin are the same for all
/// workspaces, and both C and R rise with the rate and the burst of a limit.
/// A window in which the limit changes is therefore bounded by the highest rate
/// and burst in force during it, without a record of earlier limits.
///
/// The buckets live in memory only. Those of a new leader start empty: what its
/// predecessor issued and what it has issued itself then fit in one bucket. For
/// this, take() must be called before the quorum round that confirms the leader
/// is started. A permit taken after the round could be issued when a successor
/// issues permits already.
class WorkspaceLimiter final {
public:
  explicit WorkspaceLimiter(const WorkspaceLimiterSettings &Settings);

  /// Called when this process has become the leader. Discards all buckets.
  void becameLeader(Instant Now);
  /// Issues permits for \p Demand of a workspace with \p Limit; never the same
  /// permit twice.
  PermitGrant take(Instant Now, const PermitDemand &Demand,
                   const WorkspaceLimit &Limit);

  bool isEnforced() const { return m_Settings.m_Window > Duration(0); }
  /// How long a permit is valid from the sending of the request for it.
  Duration validity() const { return m_Validity; }
  /// The most operations of a workspace with \p Limit in any window.
  double bound(const WorkspaceLimit &Limit) const;
  /// Number of buckets in memory.
  std::size_t bucketCount() const { return m_Buckets.size(); }

private:
  /// Tokens of one workspace.
  struct Bucket final {
    double m_Tokens = 0; ///< Permits that may be issued.
    double m_Rate = 0;   ///< Refill a second.
    double m_Most = 0;   ///< Capacity.
    Instant m_At;        ///< When m_Tokens was computed.
  };

  Bucket &refill(Instant Now, const WorkspaceId &Workspace,
                 const WorkspaceLimit &Limit);
  void removeFullBuckets(Instant Now);

  WorkspaceLimiterSettings m_Settings; ///< The bounds.
  Duration m_Validity{0};              ///< See validity().
  double m_ReservedSeconds = 0; ///< Window, validity and drift margin together.
  double m_RateShare = 1;       ///< Part of a limit's rate that is issued.
  Instant m_LeaderSince;        ///< When this process became the leader.
  Instant m_NextRemoval;        ///< When full buckets are next removed.
  std::unordered_map<WorkspaceId, Bucket> m_Buckets; ///< Those not known full.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_WORKSPACELIMITER_H
