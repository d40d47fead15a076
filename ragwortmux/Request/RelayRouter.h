#ifndef RAGWORTMUX_REQUEST_RELAYROUTER_H
#define RAGWORTMUX_REQUEST_RELAYROUTER_H

#include "ragwortmux/Connection/ChooseGroupHosts.h"
#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace ragwortmux {

/// Identity of this host and limits of a RelayRouter.
struct RelayRouterSettings final {
  HostId m_Host;            ///< This host.
  FailureDomainId m_Domain; ///< Its failure domain.
  std::size_t m_HostsPerDomain =
      MaxGroupHostsPerDomain; ///< Entry hosts of a failure domain that serve a
                              ///< group.
  Duration m_FailurePause = std::chrono::milliseconds(
      500); ///< How long a host that failed gets no new statements while
            ///< another host can run them.
  std::function<bool(const HostId &Host)>
      m_IsReachable; ///< False while no connection to a host can be opened; not
                     ///< set: all hosts are reachable.
};

/// Decides which groups this entry host serves itself, and to which host of its
/// failure domain it relays the statements for other groups.
class RelayRouter final {
public:
  explicit RelayRouter(RelayRouterSettings Settings);

  /// Sets the entry hosts of all failure domains.
  void setHosts(std::span<const HomeCandidate> Hosts);
  /// Sets all groups of the catalogue.
  void setGroups(std::set<GroupId> Groups);
  /// A host did not run a statement for a reason of its own.
  void hostFailed(Instant Now, const HostId &Host);
  /// A host refused a statement because its process drains. It gets no new ones
  /// until connectionLost() while another host can run them.
  void hostDraining(const HostId &Host) { m_Draining.insert(Host); }
  /// A host answered; it gets new statements again, unless it drains.
  void hostAnswered(const HostId &Host);
  /// The connection to a host was lost, so that its process may be another one.
  void connectionLost(Instant Now, const HostId &Host);

  /// True if this host serves \p Group.
  bool isServing(const GroupId &Group);
  /// The groups of setGroups() that this host serves; none if it serves all
  /// groups, because no other host of its failure domain is known.
  std::optional<std::set<GroupId>> servedGroups();
  /// The host to relay a statement of \p Caller to; none if no host except
  /// those in \p Avoid can run it. The callers are spread over the hosts; a
  /// host that serves several groups gets fewer callers of each. All callers of
  /// a \p Workspace, unless it is empty, get the same host, because only they
  /// can use its connections.
  std::optional<HostId> choose(Instant Now, const GroupId &Group,
                               CallerConnectionId Caller,
                               const WorkspaceId &Workspace,
                               std::span<const HostId> Avoid);

private:
  const std::vector<HostId> &servingHosts(const GroupId &Group);
  const std::map<HostId, std::uint32_t> &groupCounts();
  double position(const GroupId &Group, CallerConnectionId Caller,
                  const WorkspaceId &Workspace) const;
  HostId chooseWeighted(double Position, const std::vector<HostId> &Hosts);
  bool isPaused(Instant Now, const HostId &Host) const;

  RelayRouterSettings m_Settings;    ///< Identity and limits.
  bool m_HasHosts = false;           ///< setHosts() was called.
  std::vector<HomeCandidate> m_Near; ///< Hosts of the own failure domain,
                                     ///< including this one.
  std::map<GroupId, std::vector<HostId>>
      m_Serving;              ///< Results of chooseGroupHosts() for m_Near.
  std::set<GroupId> m_Groups; ///< All groups of the catalogue.
  std::map<HostId, std::uint32_t>
      m_GroupCounts; ///< Number of groups by host; computed when needed.
  std::map<HostId, Instant>
      m_PausedUntil; ///< Until when a host that failed gets no statements.
  std::set<HostId> m_Draining; ///< Hosts whose processes drain.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_RELAYROUTER_H
