#include "ragwortmux/Process/Entry/RelayClient.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Peers/PeerLink.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

RelayClient::RelayClient(IoLoop &Loop, const ProcessSettings &Settings,
                         RelayClientHooks Hooks)
    : m_Loop(Loop), m_Settings(Settings), m_Hooks(std::move(Hooks)),
      m_Core(coreSettings()) {}

RelayClient::~RelayClient() {
  // The connections answer their statements when they are destroyed.
  m_IsEnding = true;
  m_Hosts.clear();
}

RelayCoreSettings RelayClient::coreSettings() {
  RelayCoreSettings Settings;
  Settings.m_Router.m_Host = m_Settings.m_Host;
  Settings.m_Router.m_Domain = m_Settings.m_FailureDomain;
  Settings.m_Router.m_HostsPerDomain = m_Settings.m_ServingHostsPerDomain;
  Settings.m_Router.m_IsReachable = [this](const HostId &Host) {
    const auto Found = m_Hosts.find(Host);
    return Found != m_Hosts.end() &&
           (!Found->second.m_Link || Found->second.m_Link->isUsable());
  };
  return Settings;
}

void RelayClient::setHosts(const std::vector<EntryAddress> &Hosts) {
  // A host that has just restarted may be listed twice, the newer session last.
  std::map<HostId, EntryAddress> Newest;
  for (const EntryAddress &Listed : Hosts) {
    Newest.insert_or_assign(Listed.m_Host, Listed);
  }
  for (auto &[Host, Known] : m_Hosts) {
    Known.m_IsListed = false;
  }
  std::vector<HomeCandidate> Candidates;
  for (const auto &[Host, Listed] : Newest) {
    Candidates.push_back({Host, Listed.m_Domain});
    LinkedHost &Known = m_Hosts[Host];
    Known.m_IsListed = true;
    if (Known.m_Address == Listed) {
      continue;
    }
    Known.m_Address = Listed;
    // Ends the statements at the old address.
    const auto Old = std::move(Known.m_Link);
    if (Old) {
      m_Core.hostLost(monotonicNow(), Host);
    }
  }
  const auto Near = std::ranges::count(Candidates, m_Settings.m_FailureDomain,
                                       &HomeCandidate::m_Domain);
  logInfo(Part::Rpc, "{} entry hosts, {} of them in this failure domain.",
          Candidates.size(), Near);
  m_Core.router().setHosts(Candidates);
  removeUnusedLinks();
  perform();
}

void RelayClient::removeUnusedLinks() {
  std::erase_if(m_Hosts, [this](const auto &Each) {
    return !Each.second.m_IsListed && !m_Core.isUsing(Each.first);
  });
}

bool RelayClient::hasHostFor(CallerConnectionId Caller, const GroupId &Group) {
  return m_Core.router()
      .choose(monotonicNow(), Group, Caller, {}, {})
      .has_value();
}

void RelayClient::submit(SessionRequest Request) {
  const RequestId Id = Request.m_Id;
  const Instant Now = monotonicNow();
  const Duration UntilExpiry = m_Core.expiry(Request) - Now;
  m_Core.submit(Now, std::move(Request), m_Actions);
  perform();
  // A connection that stays silent must not leave the caller without an answer.
  m_Loop.after(std::max(Duration(0), UntilExpiry), [this, Id] {
    m_Core.expire(monotonicNow(), Id, m_Actions);
    perform();
  });
}

void RelayClient::callerDisconnected(CallerConnectionId Caller) {
  m_Core.callerDisconnected(Caller, m_Actions);
  perform();
}

void RelayClient::endTransactions() {
  m_Core.endTransactions(m_Actions);
  perform();
}

void RelayClient::perform() {
  // Hooks may trigger further events. The outer call performs their actions.
  if (m_IsPerforming || m_IsEnding) {
    return;
  }
  m_IsPerforming = true;
  while (!m_Actions.empty()) {
    const RelayActions Actions = std::exchange(m_Actions, {});
    for (const RelayAction &Action : Actions) {
      std::visit(
          [this](const auto &Alternative) { performAction(Alternative); },
          Action);
    }
  }
  m_IsPerforming = false;
}

void RelayClient::performAction(const RelayStatement &Action) {
  const HostId Host = Action.m_Host;
  const RequestId Id = Action.m_Request.m_Id;
  findOrCreateLink(Host).run(
      Action.m_Request,
      [this, Host, Id](const std::optional<SessionAnswer> &Reply) {
        m_Core.answered(monotonicNow(), Host, Id, Reply, m_Actions);
        perform();
      });
}

void RelayClient::performAction(const ReleaseRelayedCaller &Action) {
  const auto Found = m_Hosts.find(Action.m_Host);
  if (Found != m_Hosts.end() && Found->second.m_Link) {
    Found->second.m_Link->callerDisconnected(Action.m_Caller);
  }
}

void RelayClient::performAction(const SessionAnswer &Action) {
  m_Hooks.m_Answer(Action);
}

void RelayClient::performAction(const RelayDecisionRecord &Action) {
  m_Hooks.m_DecisionMade(Action);
}

RelayLink &RelayClient::findOrCreateLink(const HostId &Host) {
  LinkedHost &Target = m_Hosts[Host];
  if (Target.m_Link) {
    return *Target.m_Link;
  }
  PeerLinkSettings Link;
  Link.m_OwnHost = m_Settings.m_Host;
  Link.m_Address = Target.m_Address.m_Address;
  Link.m_Port = Target.m_Address.m_Port;
  RelayLinkHooks Hooks;
  Hooks.m_Lost = [this, Host] {
    logWarn(Part::Rpc, "Lost the relay connection to {}.", Host.value());
    m_Core.hostLost(monotonicNow(), Host);
    // A connection must not be destroyed by its own callback.
    m_Loop.after(Duration(0), [this] { removeUnusedLinks(); });
  };
  Target.m_Link = std::make_unique<RelayLink>(
      m_Loop, m_Settings.m_ClusterKey, std::move(Link), std::move(Hooks));
  return *Target.m_Link;
}

} // namespace ragwortmux
