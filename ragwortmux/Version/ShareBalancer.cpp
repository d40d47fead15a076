#include "ragwortmux/Version/ShareBalancer.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/GroupParticipants.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <algorithm>

namespace ragwortmux {

void ShareBalancer::reset() {
  m_Demand.clear();
  m_Serving.clear();
  m_BalancedAt.clear();
}

void ShareBalancer::renewalReceived(const LeaseRenewal &Renewal) {
  if (m_Context.state().sessions().find(Renewal.m_Session) == nullptr)
    return;
  std::map<ServerKey, std::uint32_t> Demand;
  for (const ShareDemand &Each : Renewal.m_Demand)
    Demand[{Each.m_Group, Each.m_Server}] = Each.m_Connections;
  m_Demand[Renewal.m_Session] = std::move(Demand);
}

void ShareBalancer::evaluate(const GroupRecord &Group, Instant Now) {
  proposeConfirmations(Group.m_Group, Now);
  if (!isSettled(Group.m_Group, Now))
    return;
  for (const auto &[Id, Server] : Group.m_Servers)
    balance(Group, Server, Now);
}

bool ShareBalancer::isSettled(const GroupId &Group, Instant Now) {
  const ControlLeaderSettings &Settings = m_Context.settings();
  std::vector<ControlSessionId> Sessions = m_Participants.participants(Group);
  std::erase_if(Sessions, [&](ControlSessionId Session) {
    return !m_Participants.serves(Session, Group);
  });
  ServingSet &Serving = m_Serving[Group];
  const bool WasSettled =
      Now - Serving.m_ChangedAt >= Settings.m_ShareSettleTime;
  if (Serving.m_Sessions != Sessions) {
    Serving.m_Sessions = std::move(Sessions);
    Serving.m_ChangedAt = Now;
    if (WasSettled)
      Serving.m_UnsettledSince = Now;
  }
  return Now - Serving.m_ChangedAt >= Settings.m_ShareSettleTime ||
         Now - Serving.m_UnsettledSince >= Settings.m_RebalanceInterval;
}

void ShareBalancer::proposeConfirmations(const GroupId &Group, Instant Now) {
  // One command confirms all shares of a session up to a revision. With the
  // newest revision of those shares it stays equal while it is pending, so it
  // is not proposed twice.
  std::map<ControlSessionId, Revision> Confirmed;
  const auto Collect = [&](const ShareRecord &Share) {
    const bool IsConfirmed =
        Share.m_MaxOpen > Share.m_Share &&
        m_Updates.confirmed(Share.m_Session, Group) >= Share.m_ShareRevision;
    if (!IsConfirmed)
      return;
    Revision &Newest = Confirmed[Share.m_Session];
    Newest = std::max(Newest, Share.m_ShareRevision);
  };
  m_Context.state().shares().forEachShareOf(Group, Collect);
  for (const auto &[Session, Newest] : Confirmed)
    m_Context.propose(ConfirmShares{Group, Session, Newest}, Now);
}

void ShareBalancer::balance(const GroupRecord &Group,
                            const ServerRecord &Server, Instant Now) {
  const ControlLeaderSettings &Settings = m_Context.settings();
  const ServerKey Key{Group.m_Group, Server.m_Server};
  const auto Balanced = m_BalancedAt.find(Key);
  const bool IsFirst = Balanced == m_BalancedAt.end();
  if (!IsFirst && Now - Balanced->second < Settings.m_StarvedRebalanceInterval)
    return;
  const std::uint32_t Budget =
      m_Context.state().shares().budget(Server.m_ConnectionLimit);
  std::vector<SessionShare> Shares = collectShares(Key, Budget);
  SetShares Command{Group.m_Group, Server.m_Server, collectWithdrawals(Key)};
  const auto Count = static_cast<std::uint32_t>(Shares.size());
  const std::uint32_t Floor =
      std::min(Settings.m_ShareFloor, Budget / std::max(Count, 1U));
  const bool IsStarved =
      std::any_of(Shares.begin(), Shares.end(), [&](const SessionShare &Each) {
        return Each.m_Share < Floor;
      });
  // A session below the floor does not wait for the next regular round.
  if (!IsFirst && !IsStarved &&
      Now - Balanced->second < Settings.m_RebalanceInterval)
    return;
  const std::uint32_t MaxOpen =
      m_Context.state().shares().maxOpen(Group.m_Group, Server.m_Server);
  const std::uint32_t Free = Budget - std::min(Budget, MaxOpen);
  if (needsRebalance(Shares, Floor, Free)) {
    fillTargets(Shares, Floor, std::max(Floor * Count, unreserved(Budget)),
                ceiling(Budget, Count));
    addGrants(Shares, Free, Command.m_Grants);
  }
  if (Command.m_Grants.empty())
    return;
  m_BalancedAt[Key] = Now;
  m_Context.propose(Command, Now);
}

void ShareBalancer::addGrants(const std::vector<SessionShare> &Shares,
                              std::uint32_t Free,
                              std::vector<ShareGrant> &Grants) {
  std::uint32_t Left = Free;
  for (const SessionShare &Each : Shares) {
    // Connections that a session may still have open can be returned to it at
    // once.
    const std::uint32_t Counted = std::max(Each.m_MaxOpen, Each.m_Share);
    const std::uint32_t Share = std::min(Each.m_Target, Counted + Left);
    Left -= Share - std::min(Share, Counted);
    if (Share != Each.m_Share)
      Grants.push_back({Each.m_Session, Share});
  }
}

std::vector<ShareBalancer::SessionShare>
ShareBalancer::collectShares(const ServerKey &Key, std::uint32_t Budget) const {
  std::map<ControlSessionId, SessionShare> Shares;
  const auto Serving = m_Serving.find(Key.first);
  if (Serving == m_Serving.end())
    return {};
  for (const ControlSessionId Session : Serving->second.m_Sessions)
    Shares[Session].m_Session = Session;
  m_Context.state().shares().forEachShareOf(
      Key.first, Key.second, [&](const ShareRecord &Share) {
        const auto Found = Shares.find(Share.m_Session);
        if (Found == Shares.end())
          return;
        Found->second.m_Share = Share.m_Share;
        Found->second.m_MaxOpen = Share.m_MaxOpen;
      });
  std::vector<SessionShare> List;
  const auto Count = static_cast<std::uint32_t>(Shares.size());
  for (auto &[Session, Each] : Shares) {
    Each.m_Demand =
        sessionDemand(Session, Key, Each.m_Share).value_or(Budget / Count);
    Each.m_Demand = std::min(Each.m_Demand, ceiling(Budget, Count));
    List.push_back(Each);
  }
  return List;
}

std::vector<ShareGrant>
ShareBalancer::collectWithdrawals(const ServerKey &Key) const {
  std::vector<ShareGrant> Grants;
  m_Context.state().shares().forEachShareOf(
      Key.first, Key.second, [&](const ShareRecord &Share) {
        if (Share.m_Share > 0 &&
            !m_Participants.serves(Share.m_Session, Key.first))
          Grants.push_back({Share.m_Session, 0});
      });
  return Grants;
}

std::optional<std::uint32_t>
ShareBalancer::sessionDemand(ControlSessionId Session, const ServerKey &Key,
                             std::uint32_t Share) const {
  const auto Demands = m_Demand.find(Session);
  if (Demands == m_Demand.end())
    return std::nullopt;
  const auto Reported = Demands->second.find(Key);
  if (Reported != Demands->second.end())
    return Reported->second;
  // A session that reports no demand for any server of the group keeps its
  // share.
  const auto OfGroup = Demands->second.lower_bound({Key.first, ServerId()});
  if (OfGroup != Demands->second.end() && OfGroup->first.first == Key.first)
    return 0;
  return Share;
}

bool ShareBalancer::needsRebalance(const std::vector<SessionShare> &Shares,
                                   std::uint32_t Floor, std::uint32_t Free) {
  bool HasUnmetDemand = false;
  bool HasSpare = Free > 0;
  for (const SessionShare &Each : Shares) {
    if (Each.m_Share < Floor)
      return true;
    HasUnmetDemand = HasUnmetDemand || Each.m_Share < Each.m_Demand;
    HasSpare = HasSpare || Each.m_Share > std::max(Floor, Each.m_Demand);
  }
  if (HasUnmetDemand && HasSpare)
    return true;
  if (Shares.empty())
    return false;
  // If the total demand exceeds the budget, the shares must be even.
  const auto [Least, Most] = std::minmax_element(
      Shares.begin(), Shares.end(),
      [](const SessionShare &Left, const SessionShare &Right) {
        return Left.m_Share < Right.m_Share;
      });
  return Least->m_Share < Least->m_Demand && Least->m_Share + 1 < Most->m_Share;
}

std::uint32_t ShareBalancer::unreserved(std::uint32_t Budget) const {
  constexpr std::uint32_t PercentBase = 100;
  return Budget -
         Budget * m_Context.settings().m_ShareReservePercent / PercentBase;
}

std::uint32_t ShareBalancer::ceiling(std::uint32_t Budget,
                                     std::uint32_t Sessions) const {
  const std::uint32_t Most = m_Context.settings().m_ShareCeiling;
  if (Most == 0)
    return UINT32_MAX;
  // With few sessions there is enough left for others, so each may get more.
  return std::max(Most, unreserved(Budget) / std::max(Sessions, 1U));
}

void ShareBalancer::fillTargets(std::vector<SessionShare> &Shares,
                                std::uint32_t Floor, std::uint32_t Budget,
                                std::uint32_t Ceiling) {
  std::uint32_t Left = Budget;
  for (SessionShare &Each : Shares) {
    Each.m_Target = Floor;
    Left -= Floor;
  }
  // First meet demand, one connection at a time; then spread the rest evenly.
  for (const bool OnlyUnmetDemand : {true, false}) {
    bool HasGranted = true;
    while (Left > 0 && HasGranted) {
      HasGranted = false;
      for (SessionShare &Each : Shares) {
        if (Left == 0 || Each.m_Target >= Ceiling ||
            (OnlyUnmetDemand && Each.m_Target >= Each.m_Demand))
          continue;
        ++Each.m_Target;
        --Left;
        HasGranted = true;
      }
    }
  }
}

} // namespace ragwortmux
