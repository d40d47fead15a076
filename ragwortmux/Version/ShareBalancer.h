#ifndef RAGWORTMUX_VERSION_SHAREBALANCER_H
#define RAGWORTMUX_VERSION_SHAREBALANCER_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/ShareRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace ragwortmux {

class GroupParticipants;
class LeaderContext;
class UpdateTracker;
struct GroupRecord;
struct LeaseRenewal;
struct ServerRecord;

/// Distributes the connection shares of each server among the sessions that
/// serve its group according to their demand. Other sessions get none, and lose
/// the shares that they had.
///
/// Shares shrink at once, but grow only into connections that no other session
/// can still have open.
class ShareBalancer final {
public:
  ShareBalancer(LeaderContext &Context, const GroupParticipants &Participants,
                const UpdateTracker &Updates)
      : m_Context(Context), m_Participants(Participants), m_Updates(Updates) {}

  void reset();
  void renewalReceived(const LeaseRenewal &Renewal);
  void sessionEnded(ControlSessionId Session) { m_Demand.erase(Session); }
  /// Proposes due changes of the shares of \p Group.
  void evaluate(const GroupRecord &Group, Instant Now);

private:
  /// One session's share of one server's connections.
  struct SessionShare final {
    ControlSessionId m_Session;  ///< The session.
    std::uint32_t m_Share = 0;   ///< Its current share.
    std::uint32_t m_MaxOpen = 0; ///< Connections that it may still have open.
    std::uint32_t m_Demand = 0;  ///< Connections that it could use.
    std::uint32_t m_Target = 0;  ///< The share that it is to get.
  };

  /// The sessions that serve a group.
  struct ServingSet final {
    std::vector<ControlSessionId> m_Sessions; ///< In ascending order.
    Instant m_ChangedAt{};                    ///< When it last changed.
    Instant m_UnsettledSince{}; ///< When it last changed after it had been
                                ///< settled.
  };

  using ServerKey = std::pair<GroupId, ServerId>;

  void proposeConfirmations(const GroupId &Group, Instant Now);
  /// Updates the sessions that serve \p Group. True if shares may change now;
  /// see ControlLeaderSettings::m_ShareSettleTime.
  bool isSettled(const GroupId &Group, Instant Now);
  void balance(const GroupRecord &Group, const ServerRecord &Server,
               Instant Now);
  /// The shares of the sessions that serve the group.
  std::vector<SessionShare> collectShares(const ServerKey &Key,
                                          std::uint32_t Budget) const;
  /// Grants of 0 to the sessions that have a share but do not serve the group.
  std::vector<ShareGrant> collectWithdrawals(const ServerKey &Key) const;
  /// The connections that \p Session with \p Share of them could use; none if
  /// it has not reported a demand yet.
  std::optional<std::uint32_t> sessionDemand(ControlSessionId Session,
                                             const ServerKey &Key,
                                             std::uint32_t Share) const;
  static bool needsRebalance(const std::vector<SessionShare> &Shares,
                             std::uint32_t Floor, std::uint32_t Free);
  static void fillTargets(std::vector<SessionShare> &Shares,
                          std::uint32_t Floor, std::uint32_t Budget,
                          std::uint32_t Ceiling);
  /// Adds the grants that move \p Shares to their targets as far as \p Free
  /// connections allow.
  static void addGrants(const std::vector<SessionShare> &Shares,
                        std::uint32_t Free, std::vector<ShareGrant> &Grants);
  /// The part of \p Budget that is not reserved by m_ShareReservePercent.
  std::uint32_t unreserved(std::uint32_t Budget) const;
  /// The largest share of each of \p Sessions sessions.
  std::uint32_t ceiling(std::uint32_t Budget, std::uint32_t Sessions) const;

  LeaderContext &m_Context;                ///< Shared.
  const GroupParticipants &m_Participants; ///< Who takes part in each group.
  const UpdateTracker &m_Updates;          ///< What sessions have confirmed.
  std::map<ControlSessionId, std::map<ServerKey, std::uint32_t>>
      m_Demand;                            ///< Reported demand, in connections.
  std::map<GroupId, ServingSet> m_Serving; ///< Who serves each group.
  std::map<ServerKey, Instant>
      m_BalancedAt; ///< Last change of each server's shares.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SHAREBALANCER_H
