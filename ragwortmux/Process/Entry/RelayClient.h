#ifndef RAGWORTMUX_PROCESS_ENTRY_RELAYCLIENT_H
#define RAGWORTMUX_PROCESS_ENTRY_RELAYCLIENT_H

#include "ragwortmux/Process/Peers/ControlMessages.h"
#include "ragwortmux/Process/Peers/RelayLink.h"
#include "ragwortmux/Request/RelayCore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace ragwortmux {

class IoLoop;
class Secret;
struct ProcessSettings;

/// Callbacks from a relay client into its process, called on the event loop.
struct RelayClientHooks final {
  std::function<void(const SessionAnswer &Response)>
      m_Answer; ///< Answers a caller.
  std::function<void(const RelayDecisionRecord &Record)>
      m_DecisionMade; ///< Called for each decision of the core.
};

/// The sending side of the relay between entry hosts: performs the actions of
/// a RelayCore on one connection to each other host that it uses.
///
/// Used on the event loop's thread only.
class RelayClient final {
public:
  RelayClient(IoLoop &Loop, const ProcessSettings &Settings,
              RelayClientHooks Hooks);
  ~RelayClient();
  RelayClient(const RelayClient &) = delete;
  RelayClient &operator=(const RelayClient &) = delete;

  /// Sets the entry hosts of all failure domains.
  void setHosts(const std::vector<EntryAddress> &Hosts);
  /// Sets all groups of the catalogue.
  void setGroups(std::set<GroupId> Groups) {
    m_Core.router().setGroups(std::move(Groups));
  }
  /// Relays a statement; RelayClientHooks::m_Answer receives the answer.
  void submit(SessionRequest Request);
  /// Releases the state of a caller that has closed its connection.
  void callerDisconnected(CallerConnectionId Caller);
  /// Refuses new transactions; open ones may continue.
  void drain() { m_Core.drain(); }
  /// Aborts the open transactions that have no statement under way.
  void endTransactions();

  /// See RelayRouter::isServing().
  bool isServing(const GroupId &Group) {
    return m_Core.router().isServing(Group);
  }
  /// See RelayRouter::servedGroups().
  std::optional<std::set<GroupId>> servedGroups() {
    return m_Core.router().servedGroups();
  }
  /// True if another host can run a statement of \p Caller for \p Group.
  bool hasHostFor(CallerConnectionId Caller, const GroupId &Group);
  /// Transactions and statements at other hosts.
  const RelayCore &core() const { return m_Core; }

private:
  RelayCoreSettings coreSettings();
  void perform();
  void performAction(const RelayStatement &Action);
  void performAction(const ReleaseRelayedCaller &Action);
  void performAction(const SessionAnswer &Action);
  void performAction(const RelayDecisionRecord &Action);
  RelayLink &findOrCreateLink(const HostId &Host);
  void removeUnusedLinks();

  /// An entry host that is connected to.
  struct LinkedHost final {
    EntryAddress m_Address;            ///< Its address.
    std::unique_ptr<RelayLink> m_Link; ///< The connection; null until first
                                       ///< used.
    bool m_IsListed = true; ///< setHosts() names the host at this address.
  };

  IoLoop &m_Loop;                       ///< The event loop.
  const ProcessSettings &m_Settings;    ///< The process's settings.
  RelayClientHooks m_Hooks;             ///< Callbacks of the process.
  RelayCore m_Core;                     ///< The decision core.
  RelayActions m_Actions;               ///< Actions not performed yet.
  bool m_IsPerforming = false;          ///< perform() is running.
  bool m_IsEnding = false;              ///< The destructor is running.
  std::map<HostId, LinkedHost> m_Hosts; ///< Hosts and connections.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_RELAYCLIENT_H
