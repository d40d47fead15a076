#ifndef RAGWORTMUX_VERSION_CONTROLLEADERSETTINGS_H
#define RAGWORTMUX_VERSION_CONTROLLEADERSETTINGS_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/ProxyLease.h"

#include <chrono>
#include <cstdint>

namespace ragwortmux {

/// Settings of the control leader. Entry hosts use the lease, the renewal
/// interval and the drift bound too.
struct ControlLeaderSettings final {
  Duration m_Lease =
      std::chrono::milliseconds(1200); ///< Length of a granted lease.
  Duration m_RenewalInterval =
      std::chrono::milliseconds(300); ///< Interval of a proxy's lease renewals.
  DriftBound m_Drift;                 ///< Bound between two hosts' clocks.
  Duration m_ConfirmRetry = std::chrono::milliseconds(
      100); ///< A quorum round without a result is repeated after this time.
  Duration m_PushRetry = std::chrono::milliseconds(
      150); ///< An unconfirmed record is pushed again after this time.
  Duration m_ListPushTimeout = std::chrono::milliseconds(
      1200); ///< The catalogue or the session homes are sent to a session again
             ///< if it has not confirmed them after this time, or sooner if the
             ///< push has failed.
  Duration m_CallRetry = std::chrono::milliseconds(
      100); ///< A failed backend call is repeated after this time.
  Duration m_CallTimeout = std::chrono::milliseconds(
      500); ///< A backend call without an answer fails after this time.
  Duration m_ProposeRetry = std::chrono::milliseconds(
      500); ///< A command without a result is proposed again after this time.
  Duration m_ProbeAfter = std::chrono::milliseconds(
      150); ///< A server silent for this long gets a position call.
  Duration m_SilenceSuspected =
      std::chrono::milliseconds(150); ///< Silence that counts as failure if
                                      ///< proxies report the server too.
  Duration m_SilenceFailed = std::chrono::milliseconds(
      300); ///< Silence that counts as failure by itself.
  Duration m_SilenceUnannounced =
      std::chrono::seconds(1); ///< A server without an announcement for this
                               ///< long gets no new requests.
  Duration m_EvidenceWindow = std::chrono::milliseconds(
      1000); ///< How long a proxy's report about a server counts.
  Duration m_EvidenceSlack = std::chrono::milliseconds(
      100); ///< How long before the last contact with the server a report still
            ///< counts, because messages may overtake each other.
  Duration m_NewLeaderGrace = std::chrono::milliseconds(
      300); ///< A new leader counts silence only after this time, because the
            ///< servers' announcements must find it first.
  Duration m_FenceWait = std::chrono::milliseconds(
      200); ///< How long to wait for the other servers after the first answer
            ///< to a fence call.
  Duration m_PromoteTimeout =
      std::chrono::seconds(1); ///< An appointed server that has not become
                               ///< primary after this time is replaced; in
                               ///< delegated groups, one whose promotion is not
                               ///< accepted, or that is silent, for this long.
  Duration m_HandoverDrain = std::chrono::milliseconds(
      200); ///< How long requests at a leaving primary may take to finish after
            ///< all proxies have stopped sending new ones.
  Duration m_HandoverLimit = std::chrono::seconds(
      1); ///< A leaving primary is replaced after this time at the latest.
  Duration m_PositionCallInterval = std::chrono::milliseconds(
      60); ///< Delegated groups: interval of position calls to one server.
  Duration m_CatchUpWait = std::chrono::milliseconds(
      500); ///< Delegated groups: how long the replicas of a leaving primary
            ///< may take to catch up.
  Duration m_PromotionLimit = std::chrono::seconds(
      5); ///< Delegated groups: how long a server that answers may take to
          ///< become the primary once its promotion was accepted; another one
          ///< that is promoted meanwhile takes as long again.
  Duration m_PromotionEffect =
      std::chrono::seconds(2); ///< Delegated groups: how long an accepted order
                               ///< to promote a server takes to take effect at
                               ///< most.
  Duration m_PromotionRefused =
      std::chrono::seconds(1); ///< Delegated groups: a server that refused a
                               ///< promotion is not chosen again for this long.
  Duration m_PromotionInFlight = std::chrono::milliseconds(
      1500); ///< Delegated groups: how long a promote call of a replaced leader
             ///< may still be in flight.
  std::uint32_t m_UnreachablePercent =
      30; ///< Delegated groups: percentage of the participants with a share of
          ///< the primary's connections that must report it as unreachable
          ///< before it is replaced although this leader reaches it.
  Duration m_UnreachableAfter = std::chrono::milliseconds(
      600); ///< Delegated groups: how long that percentage must be reached.
  std::uint32_t m_ChangeBurst =
      3; ///< Changes of primary per group that may follow each other at once.
  Duration m_ChangeInterval = std::chrono::seconds(
      10); ///< After a burst, one more change is allowed per interval.
  Duration m_MaxLag = std::chrono::milliseconds(
      500); ///< An in-sync server that lags by more is dropped.
  Duration m_JoinLag = std::chrono::milliseconds(
      200); ///< A server may join if it lags by no more.
  Duration m_RejoinAfter = std::chrono::seconds(
      1); ///< A dropped server stays Behind for at least this long.
  Duration m_FollowRetry =
      std::chrono::seconds(2); ///< A follower that does not advance gets
                               ///< another follow call after this time.
  Duration m_RebalanceInterval = std::chrono::milliseconds(
      500); ///< Minimum time between two changes of one server's shares.
  Duration m_StarvedRebalanceInterval = std::chrono::milliseconds(
      30); ///< The same while a proxy has less than m_ShareFloor.
  Duration m_ShareSettleTime = std::chrono::milliseconds(
      100); ///< Shares of a group change only after the set of sessions that
            ///< serve it has been unchanged for this long, or has been changing
            ///< for m_RebalanceInterval.
  std::uint32_t m_ShareCeiling =
      0; ///< Each proxy's largest share per server, so that connections are
         ///< left for proxies that start later. Proxies get more where few of
         ///< them are running. 0: no limit.
  std::uint32_t m_ShareReservePercent =
      0; ///< Percentage of a server's connections that is granted only to give
         ///< each proxy m_ShareFloor: servers keep counting the connections of
         ///< crashed hosts for a while, and the restarted hosts need others.
  std::uint32_t m_ShareFloor = 2; ///< Each proxy's smallest share per server.
  Duration m_HomesStableFor = std::chrono::seconds(
      2); ///< The set of hosts with open sessions must be unchanged for this
          ///< long before the session homes are changed.
  Duration m_FirstHomesStableFor = std::chrono::milliseconds(
      300); ///< The same for the first list of session homes, which is set
            ///< m_HomesStableFor after the first session has opened at the
            ///< latest.
  Duration m_AdvanceTimeInterval = std::chrono::seconds(
      1); ///< Interval at which the log's time is advanced.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CONTROLLEADERSETTINGS_H
