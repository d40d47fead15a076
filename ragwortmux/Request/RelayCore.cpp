#include "ragwortmux/Request/RelayCore.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace {

/// True if another host may run a statement that a host refused with \p Code.
bool mayRunElsewhere(ResultCode Code) {
  return Code == ResultCode::NotRunDraining ||
         Code == ResultCode::NotRunNoLease ||
         Code == ResultCode::NotRunNoConnection ||
         Code == ResultCode::NotRunCatalogueDiffers;
}

/// True if the refusal \p Code concerns the host and not only the statement.
bool isHostFault(ResultCode Code) {
  return Code != ResultCode::NotRunCatalogueDiffers;
}

Instant deadline(const SessionRequest &Request) {
  return Request.m_Arrived + Request.m_Entry->m_Limits.m_RequestDeadline;
}

SessionDecision decisionFor(ResultCode Code) {
  if (isNotRun(Code))
    return SessionDecision::Refused;
  const bool IsUnknown = Code == ResultCode::OutcomeUnknown ||
                         Code == ResultCode::OutcomeUnknownTermEnded;
  return IsUnknown ? SessionDecision::Unknown : SessionDecision::Answered;
}

} // namespace

RelayCore::RelayCore(const RelayCoreSettings &Settings)
    : m_Settings(Settings), m_Router(Settings.m_Router) {}

void RelayCore::submit(Instant Now, SessionRequest Request,
                       RelayActions &Actions) {
  const RequestId Id = Request.m_Id;
  const CallerConnectionId Caller = Request.m_Caller;
  State &Pending = m_Requests[Id];
  Pending.m_Group = Request.m_Entry->m_Group;
  Pending.m_Request = std::move(Request);
  const auto Open = m_Transactions.find(Caller);
  if (Open != m_Transactions.end()) {
    submitInTransaction(Now, Pending, Open->second, Actions);
    return;
  }
  if (m_Draining) {
    finish(Now, Pending, ResultCode::NotRunDraining, Actions);
    return;
  }
  const auto Host = m_Router.choose(Now, Pending.m_Group, Caller,
                                    Pending.m_Request.m_Workspace, {});
  if (!Host) {
    finish(Now, Pending, ResultCode::NotRunNoConnection, Actions);
    return;
  }
  send(Now, Pending, *Host, Actions);
}

void RelayCore::submitInTransaction(Instant Now, State &Pending,
                                    Transaction &Open, RelayActions &Actions) {
  Pending.m_InTransaction = true;
  Pending.m_Group = Open.m_Group;
  if (Open.m_IsLost) {
    const bool Rollback =
        Pending.m_Request.m_Statement.m_Kind == StatementKind::Rollback;
    finish(Now, Pending,
           Rollback ? ResultCode::Ok : ResultCode::NotRunRolledBack, Actions);
    return;
  }
  Open.m_Wrote = Open.m_Wrote || Pending.m_Request.m_Statement.m_Writes;
  send(Now, Pending, Open.m_Host, Actions);
}

void RelayCore::send(Instant Now, State &Pending, const HostId &Host,
                     RelayActions &Actions) {
  Pending.m_Host = Host;
  ++Pending.m_Tries;
  recordDecision(Now, Pending, SessionDecision::Sent, ResultCode::Ok, Actions);
  Actions.push_back(RelayStatement{Host, Pending.m_Request});
}

void RelayCore::answered(Instant Now, const HostId &Host, RequestId Request,
                         const std::optional<SessionAnswer> &Reply,
                         RelayActions &Actions) {
  const auto Found = m_Requests.find(Request);
  if (Found == m_Requests.end() || Found->second.m_Host != Host)
    return;
  State &Pending = Found->second;
  if (!Reply) {
    handleLost(Now, Pending, Actions);
    return;
  }
  // At the deadline, a refusal says more about the load than about the host.
  const bool HasTime = Now < deadline(Pending.m_Request);
  if (HasTime && mayRunElsewhere(Reply->m_Code)) {
    if (Reply->m_Code == ResultCode::NotRunDraining)
      m_Router.hostDraining(Host);
    else if (isHostFault(Reply->m_Code))
      m_Router.hostFailed(Now, Host);
    if (!Pending.m_InTransaction &&
        tryNextHost(Now, Pending, Reply->m_Code, Actions))
      return;
  } else {
    m_Router.hostAnswered(Host);
  }
  forward(Now, Pending, *Reply, Actions);
}

bool RelayCore::tryNextHost(Instant Now, State &Pending, ResultCode Reason,
                            RelayActions &Actions) {
  Pending.m_Avoid.push_back(Pending.m_Host);
  const SessionRequest &Request = Pending.m_Request;
  if (Pending.m_Tries >= m_Settings.m_MaxTries || Now >= deadline(Request))
    return false;
  const auto Next = m_Router.choose(Now, Pending.m_Group, Request.m_Caller,
                                    Request.m_Workspace, Pending.m_Avoid);
  if (!Next)
    return false;
  recordDecision(Now, Pending, SessionDecision::Retried, Reason, Actions);
  send(Now, Pending, *Next, Actions);
  return true;
}

void RelayCore::handleLost(Instant Now, State &Pending, RelayActions &Actions) {
  m_Router.hostFailed(Now, Pending.m_Host);
  const SessionRequest &Request = Pending.m_Request;
  // The host may be connected still, and then keeps the transaction.
  if (Pending.m_InTransaction || isBegin(Request.m_Statement.m_Kind))
    Actions.push_back(ReleaseRelayedCaller{Pending.m_Host, Request.m_Caller});
  const bool CanRepeat =
      !Pending.m_InTransaction && !Request.m_Statement.m_Writes;
  if (CanRepeat &&
      tryNextHost(Now, Pending, ResultCode::OutcomeUnknown, Actions))
    return;
  finish(Now, Pending, lostCode(Pending), Actions);
}

ResultCode RelayCore::lostCode(const State &Pending) const {
  const Statement &Submitted = Pending.m_Request.m_Statement;
  if (!Pending.m_InTransaction)
    // The host rolls a transaction back when it is released.
    return isBegin(Submitted.m_Kind) ? ResultCode::NotRunRolledBack
                                     : ResultCode::OutcomeUnknown;
  const auto Open = m_Transactions.find(Pending.m_Request.m_Caller);
  const bool Wrote = Open != m_Transactions.end() && Open->second.m_Wrote;
  const bool MayHaveCommitted =
      Submitted.m_Kind == StatementKind::Commit && Wrote;
  return MayHaveCommitted ? ResultCode::OutcomeUnknown
                          : ResultCode::NotRunRolledBack;
}

void RelayCore::forward(Instant Now, const State &Pending, SessionAnswer Reply,
                        RelayActions &Actions) {
  const SessionRequest &Request = Pending.m_Request;
  const CallerConnectionId Caller = Request.m_Caller;
  if (Reply.m_Status != TransactionStatus::Idle) {
    Transaction &Open = m_Transactions[Caller];
    Open.m_Host = Pending.m_Host;
    Open.m_Group = Pending.m_Group;
  } else if (m_Transactions.erase(Caller) > 0 && isNotRun(Reply.m_Code)) {
    // The refusal may not have come from the host, which then still has the
    // transaction.
    Actions.push_back(ReleaseRelayedCaller{Pending.m_Host, Caller});
  }
  Reply.m_Request = Request.m_Id;
  Reply.m_Caller = Caller;
  Reply.m_Group = Pending.m_Group;
  const ResultCode Code = Reply.m_Code;
  Actions.push_back(std::move(Reply));
  recordDecision(Now, Pending, decisionFor(Code), Code, Actions);
  m_Requests.erase(Request.m_Id);
}

void RelayCore::finish(Instant Now, const State &Pending, ResultCode Code,
                       RelayActions &Actions) {
  m_Transactions.erase(Pending.m_Request.m_Caller);
  SessionAnswer Answer;
  Answer.m_Code = Code;
  forward(Now, Pending, std::move(Answer), Actions);
}

void RelayCore::hostLost(Instant Now, const HostId &Host) {
  m_Router.connectionLost(Now, Host);
  for (auto &[Caller, Open] : m_Transactions) {
    if (Open.m_Host == Host)
      Open.m_IsLost = true;
  }
}

Instant RelayCore::expiry(const SessionRequest &Request) const {
  return deadline(Request) + m_Settings.m_AnswerMargin;
}

void RelayCore::expire(Instant Now, RequestId Request, RelayActions &Actions) {
  const auto Found = m_Requests.find(Request);
  if (Found == m_Requests.end())
    return;
  const State &Pending = Found->second;
  Actions.push_back(
      ReleaseRelayedCaller{Pending.m_Host, Pending.m_Request.m_Caller});
  finish(Now, Pending, lostCode(Pending), Actions);
}

void RelayCore::callerDisconnected(CallerConnectionId Caller,
                                   RelayActions &Actions) {
  std::set<HostId> Hosts;
  const auto Open = m_Transactions.find(Caller);
  if (Open != m_Transactions.end() && !Open->second.m_IsLost)
    Hosts.insert(Open->second.m_Host);
  m_Transactions.erase(Caller);
  std::erase_if(m_Requests, [&](const auto &Each) {
    if (Each.second.m_Request.m_Caller != Caller)
      return false;
    Hosts.insert(Each.second.m_Host);
    return true;
  });
  for (const HostId &Host : Hosts)
    Actions.push_back(ReleaseRelayedCaller{Host, Caller});
}

void RelayCore::endTransactions(RelayActions &Actions) {
  std::set<CallerConnectionId> Busy;
  for (const auto &[Id, Pending] : m_Requests)
    Busy.insert(Pending.m_Request.m_Caller);
  for (auto &[Caller, Open] : m_Transactions) {
    if (Open.m_IsLost || Busy.contains(Caller))
      continue;
    Open.m_IsLost = true;
    Actions.push_back(ReleaseRelayedCaller{Open.m_Host, Caller});
  }
}

std::optional<GroupId>
RelayCore::transactionGroup(CallerConnectionId Caller) const {
  const auto Open = m_Transactions.find(Caller);
  return Open == m_Transactions.end() ? std::nullopt
                                      : std::optional(Open->second.m_Group);
}

bool RelayCore::isUsing(const HostId &Host) const {
  return std::any_of(
             m_Requests.begin(), m_Requests.end(),
             [&](const auto &Each) { return Each.second.m_Host == Host; }) ||
         std::any_of(m_Transactions.begin(), m_Transactions.end(),
                     [&](const auto &Each) {
                       return !Each.second.m_IsLost &&
                              Each.second.m_Host == Host;
                     });
}

void RelayCore::recordDecision(Instant Now, const State &Pending,
                               SessionDecision Decision, ResultCode Code,
                               RelayActions &Actions) {
  RelayDecisionRecord Record;
  Record.m_Decision = Decision;
  Record.m_Statement = Pending.m_Request.m_Statement.m_Id;
  Record.m_Entry = Pending.m_Request.m_Entry->m_Name;
  Record.m_Group = Pending.m_Group;
  Record.m_Host = Pending.m_Host;
  Record.m_Code = Code;
  Record.m_Waited = Now - Pending.m_Request.m_Arrived;
  Record.m_Tries = Pending.m_Tries;
  Actions.push_back(std::move(Record));
}

} // namespace ragwortmux
