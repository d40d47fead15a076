#include "ragwortmux/Process/Entry/SessionDriver.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Support/Log.h"

#include <kj/exception.h>

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace {

/// Minimum delay until the next tick of a group.
constexpr Duration MinTick = std::chrono::milliseconds(1);

} // namespace

SessionDriver::SessionDriver(IoLoop &Loop, GroupId Group,
                             const SessionCoreSettings &Settings,
                             SessionDriverHooks Hooks)
    : m_Loop(Loop), m_Group(std::move(Group)), m_Hooks(std::move(Hooks)),
      m_Core(m_Group, Settings),
      m_LifetimeToken(std::make_shared<LifetimeToken>()) {}

SessionDriver::~SessionDriver() = default;

void SessionDriver::submit(SessionRequest Request) {
  m_Core.submit(monotonicNow(), std::move(Request), m_Actions);
  perform();
}

void SessionDriver::callerDisconnected(CallerConnectionId Caller) {
  m_Core.callerDisconnected(monotonicNow(), Caller, m_Actions);
  perform();
}

void SessionDriver::applyView(const GroupView &View) {
  m_Core.viewChanged(monotonicNow(), View, m_Actions);
  // The reply to the push that brought the record confirms this revision, so
  // that it needs no report.
  m_ReportedRevision = m_Core.confirmedRevision();
  perform();
}

void SessionDriver::setUsesWorkspaces(bool UsesWorkspaces) {
  m_Core.setUsesWorkspaces(UsesWorkspaces);
}

void SessionDriver::permitsChanged() {
  m_Core.permitsChanged(monotonicNow(), m_Actions);
  perform();
}

void SessionDriver::setLease(Instant ValidUntil) {
  m_Core.leaseExtended(monotonicNow(), ValidUntil, m_Actions);
  perform();
}

void SessionDriver::controlSessionChanged() {
  m_Core.controlSessionChanged(monotonicNow(), m_Actions);
  // The first renewal of the new session reports this state.
  m_ReportedRevision = m_Core.confirmedRevision();
  perform();
}

void SessionDriver::drain() {
  m_Core.drain(monotonicNow(), m_Actions);
  perform();
}

void SessionDriver::endTransactions() {
  m_Core.endTransactions(monotonicNow(), m_Actions);
  perform();
}

void SessionDriver::perform() {
  // Hooks may trigger further events. The outer call performs their actions.
  if (m_IsPerforming) {
    return;
  }
  m_IsPerforming = true;
  while (!m_Actions.empty()) {
    const SessionActions Actions = std::exchange(m_Actions, {});
    for (const SessionAction &Action : Actions) {
      tryPerformAction(Action);
    }
  }
  m_IsPerforming = false;
  if (m_ReportedRevision != m_Core.confirmedRevision()) {
    m_ReportedRevision = m_Core.confirmedRevision();
    m_Hooks.m_RevisionConfirmed();
  }
  scheduleTick();
}

void SessionDriver::tryPerformAction(const SessionAction &Action) {
  // A failure of one connection must not affect the rest of the group.
  const auto Failure = kj::runCatchingExceptions([&] {
    std::visit([this](const auto &Alternative) { performAction(Alternative); },
               Action);
  });
  KJ_IF_MAYBE (Error, Failure) {
    logError(Part::Group, "Could not perform an action: {}.",
             Error->getDescription().cStr());
  }
}

void SessionDriver::performAction(const OpenSessionConnection &Action) {
  const ConnectionId Id = Action.m_Connection;
  const auto &Servers = m_Core.view().m_Servers;
  const auto Found =
      std::ranges::find(Servers, Action.m_Server, &ServerView::m_Server);
  if (Found == Servers.end()) {
    m_Core.connectionFailed(monotonicNow(), Id, true, m_Actions);
    return;
  }
  StatementConnectionHooks Hooks;
  Hooks.m_Opened = [this, Id, Server = Action.m_Server] {
    m_Hooks.m_Opened(Server);
    m_Core.connectionOpened(monotonicNow(), Id, m_Actions);
    perform();
  };
  Hooks.m_Failed = [this, Id, Server = Action.m_Server](
                       bool ServerAnswered, const std::string &Reason) {
    logInfo(Part::Pool, "Could not open a connection to {}: {}.",
            Server.value(), Reason);
    removeConnection(Id);
    m_Core.connectionFailed(monotonicNow(), Id, ServerAnswered, m_Actions);
    perform();
  };
  Hooks.m_Lost = [this, Id,
                  Server = Action.m_Server](const std::string &Reason) {
    logInfo(Part::Pool, "Lost a connection to {}: {}.", Server.value(), Reason);
    removeConnection(Id);
    m_Core.connectionLost(monotonicNow(), Id, m_Actions);
    perform();
  };
  Hooks.m_Answered = [this, Id](const StatementReply &Reply) {
    m_Core.statementAnswered(monotonicNow(), Id, Reply, m_Actions);
    perform();
  };
  m_Connections[Id] =
      m_Hooks.m_Open({m_Group, Action.m_Workspace, Found->m_Server,
                      Found->m_Address, Found->m_Port},
                     std::move(Hooks));
}

void SessionDriver::performAction(const CloseSessionConnection &Action) {
  removeConnection(Action.m_Connection);
}

void SessionDriver::performAction(const SetUpSession &Action) {
  const auto Found = m_Connections.find(Action.m_Connection);
  if (Found != m_Connections.end()) {
    Found->second->setUp(Action.m_Steps);
  }
}

void SessionDriver::performAction(const RunStatement &Action) {
  const auto Found = m_Connections.find(Action.m_Connection);
  if (Found != m_Connections.end()) {
    Found->second->run(Action);
  }
}

void SessionDriver::performAction(const ProbeConnection &Action) {
  const auto Found = m_Connections.find(Action.m_Connection);
  if (Found != m_Connections.end()) {
    Found->second->probe();
  }
}

void SessionDriver::performAction(const SessionAnswer &Action) {
  m_Hooks.m_Answer(Action);
}

void SessionDriver::performAction(const ReportServer &Action) {
  m_Hooks.m_ReportSuspicion(Action.m_Server, Action.m_Kind);
}

void SessionDriver::performAction(const SessionDecisionRecord &Action) {
  m_Hooks.m_DecisionMade(Action);
}

void SessionDriver::performAction(const CrossDomainChange &Action) {
  if (m_Hooks.m_CrossDomainChanged) {
    m_Hooks.m_CrossDomainChanged(Action);
  }
}

void SessionDriver::removeConnection(ConnectionId Id) {
  const auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end()) {
    return;
  }
  // This may be called from a hook of the connection, so the connection is
  // destroyed on a later turn of the loop.
  const auto Old = std::make_shared<std::unique_ptr<StatementConnection>>(
      std::move(Found->second));
  m_Connections.erase(Found);
  m_Loop.after(Duration(0), [Old] {});
}

void SessionDriver::scheduleTick() {
  const auto Next = m_Core.nextDeadline();
  if (!Next) {
    return;
  }
  const Instant Now = monotonicNow();
  const Instant Due = std::max(*Next, Now + MinTick);
  // The tick that is due earlier schedules the next one.
  if (m_NextTick <= Due) {
    return;
  }
  m_NextTick = Due;
  m_Loop.after(
      Due - Now,
      [this, Weak = std::weak_ptr<LifetimeToken>(m_LifetimeToken), Due] {
        if (Weak.expired() || m_NextTick != Due) {
          return;
        }
        m_NextTick = Instant::max();
        m_Core.tick(monotonicNow(), m_Actions);
        perform();
      });
}

} // namespace ragwortmux
