#include "ragwortmux/Request/RelayRouter.h"

#include "ragwortmux/Connection/ChooseGroupHosts.h"
#include "ragwortmux/Connection/StableHash.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace {

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
}

void RelayRouter::hostFailed(Instant Now, const HostId &Host) {
  m_PausedUntil[Host] = Now + m_Settings.m_FailurePause;
}

void RelayRouter::hostAnswered(const HostId &Host) {
  m_PausedUntil.erase(Host);
}

const std::vector<HostId> &RelayRouter::servingHosts(const GroupId &Group) {
  const auto [Known, IsNew] = m_Serving.try_emplace(Group);
  if (IsNew)
    Known->second = chooseGroupHosts(Group, m_Settings.m_Domain, m_Near);
  return Known->second;
}

bool RelayRouter::isServing(const GroupId &Group) {
  return contains(servingHosts(Group), m_Settings.m_Host);
}

std::optional<std::set<GroupId>>
RelayRouter::servedGroups(const std::set<GroupId> &Known) {
  // A host that serves a group takes part in each of its changes, so nothing is
  // claimed before the other hosts are known.
  if (!m_HasHosts)
    return std::set<GroupId>();
  if (m_Near.size() == 1)
    return std::nullopt;
  std::set<GroupId> Served;
  for (const GroupId &Group : Known) {
    if (isServing(Group))
      Served.insert(Group);
  }
  return Served;
}

std::optional<HostId> RelayRouter::choose(Instant Now, const GroupId &Group,
                                          CallerConnectionId Caller,
                                          std::span<const HostId> Avoid) {
  const std::vector<HostId> &Hosts = servingHosts(Group);
  const std::uint64_t Start =
      stableHash(m_Settings.m_Host.value(), Group.value()) + Caller.value();
  std::optional<HostId> Paused;
  for (std::size_t Step = 0; Step < Hosts.size(); ++Step) {
    const HostId &Host = Hosts[(Start + Step) % Hosts.size()];
    const bool IsExcluded =
        Host == m_Settings.m_Host || contains(Avoid, Host) ||
        (m_Settings.m_IsReachable && !m_Settings.m_IsReachable(Host));
    if (IsExcluded)
      continue;
    const auto Until = m_PausedUntil.find(Host);
    if (Until == m_PausedUntil.end() || Now >= Until->second)
      return Host;
    if (!Paused)
      Paused = Host;
  }
  return Paused;
}

} // namespace ragwortmux
