#include "ragwortmux/Request/RelayRouter.h"

#include "ragwortmux/Connection/ChooseGroupHosts.h"
#include "ragwortmux/Connection/StableHash.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace ragwortmux {

namespace {

/// Limit of the start of the sequence that spreads callers; keeps its multiples
/// exact enough.
constexpr std::uint64_t MaxStart = 1000;

bool contains(std::span<const HostId> Hosts, const HostId &Host) {
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

} // namespace

RelayRouter::RelayRouter(RelayRouterSettings Settings)
    : m_Settings(std::move(Settings)),
      m_Near({{m_Settings.m_Host, m_Settings.m_Domain}}) {}

void RelayRouter::setHosts(std::span<const HomeCandidate> Hosts) {
  m_HasHosts = true;
  m_Serving.clear();
  m_GroupCounts.clear();
  m_Near = {{m_Settings.m_Host, m_Settings.m_Domain}};
  std::map<HostId, Instant> Paused;
  for (const HomeCandidate &Host : Hosts) {
    if (Host.m_Domain != m_Settings.m_Domain ||
        Host.m_Host == m_Settings.m_Host)
      continue;
    m_Near.push_back(Host);
    const auto Known = m_PausedUntil.find(Host.m_Host);
    if (Known != m_PausedUntil.end())
      Paused.insert(*Known);
  }
  m_PausedUntil = std::move(Paused);
  std::erase_if(m_Draining, [&](const HostId &Host) {
    return std::none_of(
        Hosts.begin(), Hosts.end(),
        [&](const HomeCandidate &Each) { return Each.m_Host == Host; });
  });
}

void RelayRouter::setGroups(std::set<GroupId> Groups) {
  m_Groups = std::move(Groups);
  m_GroupCounts.clear();
}

void RelayRouter::hostFailed(Instant Now, const HostId &Host) {
  m_PausedUntil[Host] = Now + m_Settings.m_FailurePause;
}

void RelayRouter::hostAnswered(const HostId &Host) {
  m_PausedUntil.erase(Host);
}

void RelayRouter::connectionLost(Instant Now, const HostId &Host) {
  m_Draining.erase(Host);
  hostFailed(Now, Host);
}

const std::vector<HostId> &RelayRouter::servingHosts(const GroupId &Group) {
  const auto [Known, IsNew] = m_Serving.try_emplace(Group);
  if (IsNew)
    Known->second = chooseGroupHosts(Group, m_Settings.m_Domain, m_Near,
                                     m_Settings.m_HostsPerDomain);
  return Known->second;
}

bool RelayRouter::isServing(const GroupId &Group) {
  return contains(servingHosts(Group), m_Settings.m_Host);
}

std::optional<std::set<GroupId>> RelayRouter::servedGroups() {
  // A host that serves a group takes part in each of its changes, so nothing is
  // claimed before the other hosts are known.
  if (!m_HasHosts)
    return std::set<GroupId>();
  if (m_Near.size() == 1)
    return std::nullopt;
  std::set<GroupId> Served;
  for (const GroupId &Group : m_Groups) {
    if (isServing(Group))
      Served.insert(Group);
  }
  return Served;
}

const std::map<HostId, std::uint32_t> &RelayRouter::groupCounts() {
  if (!m_GroupCounts.empty())
    return m_GroupCounts;
  for (const GroupId &Group : m_Groups) {
    for (const HostId &Host : servingHosts(Group))
      ++m_GroupCounts[Host];
  }
  return m_GroupCounts;
}

bool RelayRouter::isPaused(Instant Now, const HostId &Host) const {
  const auto Until = m_PausedUntil.find(Host);
  return m_Draining.contains(Host) ||
         (Until != m_PausedUntil.end() && Now < Until->second);
}

std::optional<HostId> RelayRouter::choose(Instant Now, const GroupId &Group,
                                          CallerConnectionId Caller,
                                          const WorkspaceId &Workspace,
                                          std::span<const HostId> Avoid) {
  std::vector<HostId> Usable;
  std::vector<HostId> Paused;
  for (const HostId &Host : servingHosts(Group)) {
    const bool IsExcluded =
        Host == m_Settings.m_Host || contains(Avoid, Host) ||
        (m_Settings.m_IsReachable && !m_Settings.m_IsReachable(Host));
    if (IsExcluded)
      continue;
    (isPaused(Now, Host) ? Paused : Usable).push_back(Host);
  }
  const std::vector<HostId> &Hosts = Usable.empty() ? Paused : Usable;
  if (Hosts.empty())
    return std::nullopt;
  return chooseWeighted(position(Group, Caller, Workspace), Hosts);
}

/// A number from 0 to below 1, which selects one of a group's hosts.
double RelayRouter::position(const GroupId &Group, CallerConnectionId Caller,
                             const WorkspaceId &Workspace) const {
  if (!Workspace.value().empty())
    return static_cast<double>(stableHash(Workspace.value(), Group.value()) %
                               MaxStart) /
           MaxStart;
  // Multiples of the golden ratio spread successive callers evenly.
  const std::uint64_t Start =
      stableHash(m_Settings.m_Host.value(), Group.value()) % MaxStart;
  const double Multiple =
      static_cast<double>(Start + Caller.value()) * std::numbers::phi;
  return Multiple - std::floor(Multiple);
}

HostId RelayRouter::chooseWeighted(double Position,
                                   const std::vector<HostId> &Hosts) {
  const std::map<HostId, std::uint32_t> &Counts = groupCounts();
  std::vector<double> UpperBounds;
  double Total = 0;
  for (const HostId &Host : Hosts) {
    const auto Count = Counts.find(Host);
    Total += Count == Counts.end() ? 1.0 : 1.0 / Count->second;
    UpperBounds.push_back(Total);
  }
  const auto Chosen = std::upper_bound(UpperBounds.begin(),
                                       UpperBounds.end() - 1, Position * Total);
  return Hosts[static_cast<std::size_t>(Chosen - UpperBounds.begin())];
}

} // namespace ragwortmux
