#ifndef RAGWORTMUX_VERSION_SHAREBALANCER_H
#define RAGWORTMUX_VERSION_SHAREBALANCER_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace ragwortmux {

class LeaderContext;
class UpdateTracker;
struct GroupRecord;
struct LeaseRenewal;
struct ServerRecord;

/// Distributes the connection shares among the sessions according to their
/// demand.
///
/// Shares shrink at once, but grow only into connections that no other session
/// can still have open.
class ShareBalancer final {
public:
  ShareBalancer(LeaderContext &Context, const UpdateTracker &Updates)
      : m_Context(Context), m_Updates(Updates) {}

  void reset();
  void renewalReceived(const LeaseRenewal &Renewal);
  void sessionEnded(ControlSessionId Session) { m_Demand.erase(Session); }
  /// Proposes due changes of shares.
  void evaluate(Instant Now);

private:
  /// One session's share of one server's connections.
  struct SessionShare final {
    ControlSessionId m_Session;  ///< The session.
    std::uint32_t m_Share = 0;   ///< Its current share.
    std::uint32_t m_MaxOpen = 0; ///< Connections that it may still have open.
    std::uint32_t m_Demand = 0;  ///< Connections that it could use.
    std::uint32_t m_Target = 0;  ///< The share that it is to get.
  };

  using ServerKey = std::pair<GroupId, ServerId>;

  void proposeConfirmations(Instant Now);
  void balance(const GroupRecord &Group, const ServerRecord &Server,
               Instant Now);
  std::vector<SessionShare> collectShares(const ServerKey &Key,
                                          std::uint32_t Budget) const;
  /// The connections that \p Session could use; none if it has not reported a
  /// demand yet.
  std::optional<std::uint32_t> sessionDemand(ControlSessionId Session,
                                             const ServerKey &Key) const;
  static bool needsRebalance(const std::vector<SessionShare> &Shares,
                             std::uint32_t Floor, std::uint32_t Free);
  static void fillTargets(std::vector<SessionShare> &Shares,
                          std::uint32_t Floor, std::uint32_t Budget,
                          std::uint32_t Ceiling);
  /// The part of \p Budget that is not reserved by m_ShareReservePercent.
  std::uint32_t unreserved(std::uint32_t Budget) const;
  /// The largest share of each of \p Sessions sessions.
  std::uint32_t ceiling(std::uint32_t Budget, std::uint32_t Sessions) const;

  LeaderContext &m_Context;       ///< Shared.
  const UpdateTracker &m_Updates; ///< What sessions have confirmed.
  std::map<ControlSessionId, std::map<ServerKey, std::uint32_t>>
      m_Demand; ///< Reported demand, in connections.
  std::map<ServerKey, Instant>
      m_BalancedAt; ///< Last change of each server's shares.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SHAREBALANCER_H
