#include "ragwortmux/Version/ShareBalancer.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <algorithm>

namespace ragwortmux {

void ShareBalancer::reset() {
  m_Demand.clear();
  m_BalancedAt.clear();
}

void ShareBalancer::renewalReceived(const LeaseRenewal &Renewal) {
  if (m_Context.state().sessions().find(Renewal.m_Session) == nullptr)
    return;
  std::map<Place, std::uint32_t> Demand;
  for (const ShareDemand &Each : Renewal.m_Demand)
    Demand[{Each.m_Group, Each.m_Server}] = Each.m_Connections;
  m_Demand[Renewal.m_Session] = std::move(Demand);
}

void ShareBalancer::evaluate(Instant Now) {
  confirmShrunk(Now);
  m_Context.state().groups().forEachGroup([&](const GroupRecord &Group) {
    for (const auto &[Id, Server] : Group.m_Servers)
      balance(Group, Server, Now);
  });
}

void ShareBalancer::confirmShrunk(Instant Now) {
  m_Context.state().shares().forEachShare([&](const ShareRecord &Share) {
    const Revision Confirmed =
        m_Updates.confirmed(Share.m_Session, Share.m_Group);
    // With the share's own revision the command stays equal while it is
    // pending, so it is not proposed twice.
    if (Share.m_Held > Share.m_Share && Confirmed >= Share.m_ShareRevision)
      m_Context.propose(
          ConfirmShares{Share.m_Group, Share.m_Session, Share.m_ShareRevision},
          Now);
  });
}

void ShareBalancer::balance(const GroupRecord &Group,
                            const ServerRecord &Server, Instant Now) {
  const ControlLeaderSettings &Settings = m_Context.settings();
  const Place Where{Group.m_Group, Server.m_Server};
  const auto Balanced = m_BalancedAt.find(Where);
  const bool IsFirst = Balanced == m_BalancedAt.end();
  if (!IsFirst && Now - Balanced->second < Settings.m_RebalanceStarved)
    return;
  const std::uint32_t Budget =
      m_Context.state().shares().budget(Server.m_ConnectionLimit);
  std::vector<Part> Parts = partsOf(Where, Budget);
  if (Parts.empty())
    return;
  const auto Count = static_cast<std::uint32_t>(Parts.size());
  const std::uint32_t Floor = std::min(Settings.m_ShareFloor, Budget / Count);
  std::uint32_t Held = 0;
  bool IsStarved = false;
  for (const Part &Each : Parts) {
    Held += Each.m_Held;
    IsStarved = IsStarved || Each.m_Share < Floor;
  }
  // A session below the floor does not wait for the next regular round.
  if (!IsFirst && !IsStarved &&
      Now - Balanced->second < Settings.m_RebalanceEvery)
    return;
  const std::uint32_t Free = Budget - std::min(Budget, Held);
  if (!isNeeded(Parts, Floor, Free))
    return;

  fillTargets(Parts, Floor, std::max(Floor * Count, unreserved(Budget)),
              ceiling(Budget, Count));
  SetShares Command{Group.m_Group, Server.m_Server, {}};
  std::uint32_t Left = Free;
  for (const Part &Each : Parts) {
    // Connections that a session may still have open can be returned to it at
    // once.
    const std::uint32_t Reach = std::max(Each.m_Held, Each.m_Share);
    const std::uint32_t Share = std::min(Each.m_Target, Reach + Left);
    Left -= Share - std::min(Share, Reach);
    if (Share != Each.m_Share)
      Command.m_Grants.push_back({Each.m_Session, Share});
  }
  if (Command.m_Grants.empty())
    return;
  m_BalancedAt[Where] = Now;
  m_Context.propose(Command, Now);
}

std::vector<ShareBalancer::Part>
ShareBalancer::partsOf(const Place &Where, std::uint32_t Budget) const {
  std::map<ControlSessionId, Part> Parts;
  const ControlState &State = m_Context.state();
  State.sessions().forEachSession([&](const SessionRecord &Session) {
    Parts[Session.m_Session].m_Session = Session.m_Session;
  });
  State.shares().forEachShareOf(Where.first, Where.second,
                                [&](const ShareRecord &Share) {
                                  Part &Each = Parts[Share.m_Session];
                                  Each.m_Share = Share.m_Share;
                                  Each.m_Held = Share.m_Held;
                                });
  std::vector<Part> List;
  const auto Count = static_cast<std::uint32_t>(Parts.size());
  for (auto &[Session, Each] : Parts) {
    Each.m_Demand = demandOf(Session, Where).value_or(Budget / Count);
    Each.m_Demand = std::min(Each.m_Demand, ceiling(Budget, Count));
    List.push_back(Each);
  }
  return List;
}

std::optional<std::uint32_t> ShareBalancer::demandOf(ControlSessionId Session,
                                                     const Place &Where) const {
  const auto Known = m_Demand.find(Session);
  if (Known == m_Demand.end())
    return std::nullopt;
  const auto Wanted = Known->second.find(Where);
  if (Wanted != Known->second.end())
    return Wanted->second;
  // A session that reports no demand for any server of the group keeps its
  // share.
  const auto OfGroup = Known->second.lower_bound({Where.first, ServerId()});
  if (OfGroup != Known->second.end() && OfGroup->first.first == Where.first)
    return 0;
  return m_Context.state().shares().share(Where.first, Where.second, Session);
}

bool ShareBalancer::isNeeded(const std::vector<Part> &Parts,
                             std::uint32_t Floor, std::uint32_t Free) {
  bool SomeStarve = false;
  bool SomeSpare = Free > 0;
  for (const Part &Each : Parts) {
    if (Each.m_Share < Floor)
      return true;
    SomeStarve = SomeStarve || Each.m_Share < Each.m_Demand;
    SomeSpare = SomeSpare || Each.m_Share > std::max(Floor, Each.m_Demand);
  }
  if (SomeStarve && SomeSpare)
    return true;
  // If the total demand exceeds the budget, the shares must be even.
  const auto [Least, Most] = std::minmax_element(
      Parts.begin(), Parts.end(), [](const Part &Left, const Part &Right) {
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

void ShareBalancer::fillTargets(std::vector<Part> &Parts, std::uint32_t Floor,
                                std::uint32_t Budget, std::uint32_t Ceiling) {
  std::uint32_t Left = Budget;
  for (Part &Each : Parts) {
    Each.m_Target = Floor;
    Left -= Floor;
  }
  // First meet demand, one connection at a time; then spread the rest evenly.
  for (const bool OnlyWanted : {true, false}) {
    bool Given = true;
    while (Left > 0 && Given) {
      Given = false;
      for (Part &Each : Parts) {
        if (Left == 0 || Each.m_Target >= Ceiling ||
            (OnlyWanted && Each.m_Target >= Each.m_Demand))
          continue;
        ++Each.m_Target;
        --Left;
        Given = true;
      }
    }
  }
}

} // namespace ragwortmux
