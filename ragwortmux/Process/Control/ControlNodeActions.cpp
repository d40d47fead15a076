#include "ragwortmux/Process/Control/ControlNode.h"

#include "ragwortmux/Process/Control/ControlLoad.h"
#include "ragwortmux/Process/Control/ControlTokens.h"
#include "ragwortmux/Process/Control/LogControlLoad.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Peers/CommandCodec.h"
#include "ragwortmux/Process/Support/Log.h"

#include <algorithm>
#include <utility>

/// \file
/// Part of ControlNode: performs the actions of the log and of the leader.

namespace ragwortmux {

namespace {

/// Part of the minimum election timeout for which a confirmed leadership is
/// relied on, in percent; no other leader can be elected meanwhile. The rest
/// covers clocks that run at different speeds.
constexpr int ConfirmedLeadershipPercent = 90;
constexpr int PercentBase = 100;

} // namespace

void ControlNode::performActions(Instant Now) {
  // Actions of the log may cause actions of the leader and the reverse, so this
  // repeats until neither has any left.
  bool Busy = true;
  m_AppliedEntries = 0;
  while (Busy) {
    const bool LogActed = performLogActions(Now);
    const bool LeaderActed = performLeaderActions(Now);
    Busy = (LogActed || LeaderActed) &&
           m_AppliedEntries < m_Settings.m_Log.m_MaxApplyEntries;
  }
  for (auto &[Session, Update] : std::exchange(m_Pushes, {})) {
    m_Hooks.m_Push(Session, std::move(Update));
  }
}

bool ControlNode::performLogActions(Instant Now) {
  const std::vector<LogAction> Actions = m_Log->takeActions(Now);
  for (const LogAction &Action : Actions) {
    std::visit([&](const auto &TypedAction) { perform(Now, TypedAction); },
               Action);
  }
  return !Actions.empty();
}

bool ControlNode::performLeaderActions(Instant Now) {
  const std::vector<ControlAction> Actions = m_Leader.takeActions();
  for (const ControlAction &Action : Actions) {
    std::visit([&](const auto &TypedAction) { perform(Now, TypedAction); },
               Action);
  }
  return !Actions.empty();
}

void ControlNode::perform(Instant, const SendMessage &Action) {
  const VoterId &To = Action.m_Envelope.m_To;
  // A member with an empty log has no membership when it answers its future
  // leader, so it takes the address from the leader's identification.
  const LogMember *Member = m_Log->membership().find(To);
  const auto Identified = m_AddressByVoter.find(To);
  if (Member != nullptr) {
    m_Hooks.m_SendLog(Member->m_Address, Action.m_Envelope);
  } else if (Identified != m_AddressByVoter.end()) {
    m_Hooks.m_SendLog(Identified->second, Action.m_Envelope);
  }
}

void ControlNode::perform(Instant Now, const PersistLog &Action) {
  const Instant StartedAt = monotonicNow();
  const bool IsDurable = m_Storage->persist(Action);
  if (m_Hooks.m_Load) {
    const Instant EndedAt = monotonicNow();
    m_Hooks.m_Load->logSynced(EndedAt, EndedAt - StartedAt);
  }
  if (IsDurable) {
    m_Log->persisted(Now, Action.m_Sequence);
    return;
  }
  // After a failed write the content of the disk is unknown, so this voter
  // stops taking part.
  m_LastCode = m_Storage->lastCode();
  m_LastReason = m_Storage->lastReason();
  logError(Part::Log, "The log cannot be written: {}.", m_LastReason);
  m_Log->persistFailed();
}

void ControlNode::perform(Instant Now, const ApplyEntries &Action) {
  for (const LogEntry &Entry : Action.m_Entries) {
    applyEntry(Now, Entry);
  }
  m_AppliedEntries += Action.m_Entries.size();
  snapshotIfDue(Now);
}

void ControlNode::applyEntry(Instant Now, const LogEntry &Entry) {
  if (Entry.m_Kind != LogEntryKind::Payload) {
    return;
  }
  CommandReply Reply;
  std::string Reason;
  const auto Command = decodeCommand(Entry.m_Payload, Reason);
  if (Command) {
    Reply.m_Result = m_State.apply(*Command);
    clearEndedSession(Reply.m_Result);
    if (m_Leader.isLeader()) {
      m_Leader.applied(*Command, Reply.m_Result, Now);
    }
  } else {
    // All voters skip the same entry, so their states stay equal.
    logError(Part::Control, "Skipped a command that cannot be decoded: {}.",
             Reason);
    Reply.m_Result.m_Code = ResultCode::BadArgument;
  }
  const auto Pending = m_Commands.find(Entry.m_Id.m_Index);
  if (Pending == m_Commands.end()) {
    return;
  }
  const PendingCommand Answered = std::move(Pending->second);
  m_Commands.erase(Pending);
  if (Answered.m_Reply && Answered.m_Term == Entry.m_Id.m_Term) {
    Answered.m_Reply(Reply);
  }
}

void ControlNode::clearEndedSession(ControlResult &Result) const {
  if (Result.m_Code == ResultCode::NotRunKeyInUse && Result.m_Ledger &&
      m_State.sessions().find(Result.m_Ledger->m_Session) == nullptr) {
    Result.m_Ledger->m_Session = ControlSessionId();
  }
}

void ControlNode::snapshotIfDue(Instant Now) {
  const LogIndex Applied = m_Log->appliedIndex();
  const EntryLog &Log = m_Log->log();
  const std::size_t LastBytes =
      Log.snapshot() == nullptr ? 0 : Log.snapshot()->m_State.size();
  const bool HasManyEntries =
      Applied.value() - m_LastSnapshot.value() >= m_Settings.m_SnapshotEntries;
  const bool HasManyBytes = Log.payloadBytes(m_LastSnapshot, Applied) >=
                            std::max(m_Settings.m_SnapshotBytes, LastBytes);
  if (!HasManyEntries && !HasManyBytes) {
    return;
  }
  m_LastSnapshot = Applied;
  m_Log->takeSnapshot(Now, Applied, encodeState(m_State.exportData()));
}

void ControlNode::perform(Instant, const RestoreSnapshot &Action) {
  m_LastSnapshot = Action.m_Snapshot->m_Last.m_Index;
  if (Action.m_Snapshot->m_State.empty()) {
    return;
  }
  std::string Reason;
  const auto Data = decodeState(Action.m_Snapshot->m_State, Reason);
  if (!Data) {
    logError(Part::Control, "A snapshot cannot be decoded: {}.", Reason);
    m_Log->persistFailed();
    return;
  }
  m_State.importData(*Data);
}

void ControlNode::perform(Instant, const BecameLeader &Action) {
  logInfo(Part::Control, "Elected as the leader of term {}.",
          Action.m_Term.value());
}

void ControlNode::perform(Instant Now, const LeaderReady &) {
  m_Leader.becameLeader(Now);
  m_Limiter.becameLeader(Now);
  m_Hooks.m_LeadershipChanged(true);
}

void ControlNode::perform(Instant Now, const LostLeadership &Action) {
  const ControlLoadSummary Load = m_Hooks.m_Load
                                      ? m_Hooks.m_Load->summary(monotonicNow())
                                      : ControlLoadSummary();
  logLostLeadership(Action, Now, Load);
  m_Leader.lostLeadership(Now);
  failPending();
  m_Hooks.m_LeadershipChanged(false);
}

void ControlNode::perform(Instant Now, const LeadershipConfirmed &Action) {
  const std::uint64_t Token = Action.m_Token.value();
  if ((Token & PromotionTokenBit) != 0) {
    sendPromotion(Token);
    return;
  }
  if ((Token & PermitTokenBit) != 0) {
    const auto Issued = m_Permits.find(Token);
    if (Issued != m_Permits.end()) {
      const PendingPermits Pending = std::move(Issued->second);
      m_Permits.erase(Issued);
      Pending.m_Reply({{}, Pending.m_Grants});
    }
    return;
  }
  if ((Token & QueryTokenBit) == 0) {
    m_Leader.leadershipConfirmed(Token, Now);
    return;
  }
  const auto Found = m_Queries.find(Token);
  if (Found != m_Queries.end()) {
    const PendingQuery Query = std::move(Found->second);
    m_Queries.erase(Found);
    answerQuery(Query);
  }
}

void ControlNode::sendPromotion(std::uint64_t Token) {
  const auto Found = m_Promotions.find(Token);
  if (Found == m_Promotions.end()) {
    return;
  }
  CallBackend Call = Found->second.m_Call;
  // The voters that confirmed the leadership grant no vote to another candidate
  // for an election timeout.
  Call.m_ValidUntil =
      Found->second.m_StartedAt + m_Settings.m_Log.m_ElectionTimeoutMin *
                                      ConfirmedLeadershipPercent / PercentBase;
  Call.m_FencingToken = m_Log->term().value();
  m_Promotions.erase(Found);
  m_Hooks.m_CallBackend(Call);
}

void ControlNode::perform(Instant, const ConfirmationDropped &Action) {
  m_Promotions.erase(Action.m_Token.value());
  const auto Issued = m_Permits.find(Action.m_Token.value());
  if (Issued != m_Permits.end()) {
    Issued->second.m_Reply({notLeaderStatus(), {}});
    m_Permits.erase(Issued);
  }
  const auto Found = m_Queries.find(Action.m_Token.value());
  if (Found != m_Queries.end()) {
    Found->second.m_Reply({notLeaderStatus(), ""});
    m_Queries.erase(Found);
  }
}

void ControlNode::perform(Instant, const ProposalDropped &Action) {
  const auto Found = m_Commands.find(Action.m_Id.m_Index);
  if (Found == m_Commands.end() || Found->second.m_Term != Action.m_Id.m_Term) {
    return;
  }
  const PendingCommand Dropped = std::move(Found->second);
  m_Commands.erase(Found);
  if (Dropped.m_Reply) {
    Dropped.m_Reply({notLeaderStatus(), {}});
  }
}

void ControlNode::perform(Instant Now, const Propose &Action) {
  // Failures are ignored here: ControlLeader proposes a command again if its
  // result does not arrive in time.
  m_Log->propose(Now, encodeCommand(Action.m_Command));
}

void ControlNode::perform(Instant Now, const ConfirmLeadership &Action) {
  m_Log->confirmLeadership(Now, ConfirmationToken(Action.m_Token));
}

void ControlNode::perform(Instant, const GrantRenewal &Action) {
  // A grant also answers all earlier renewals of the session; their replies
  // carry no lease.
  auto Next = m_Renewals.lower_bound({Action.m_Session, 0});
  while (Next != m_Renewals.end() && Next->first.first == Action.m_Session &&
         Next->first.second < Action.m_Sequence) {
    const auto Respond = std::move(Next->second);
    Next = m_Renewals.erase(Next);
    Respond({});
  }
  const auto Found = m_Renewals.find({Action.m_Session, Action.m_Sequence});
  if (Found == m_Renewals.end()) {
    return;
  }
  RenewReply Reply;
  Reply.m_Lease = Action.m_Length;
  Reply.m_Update.m_Views = Action.m_Groups;
  Reply.m_Update.m_Catalogue = Action.m_Catalogue;
  if (Action.m_Homes) {
    Reply.m_Update.m_Homes = sharedHomesView(*Action.m_Homes);
  }
  const auto Respond = std::move(Found->second);
  m_Renewals.erase(Found);
  Respond(std::move(Reply));
}

void ControlNode::perform(Instant, const RefuseRenewal &Action) {
  const auto Found = m_Renewals.find({Action.m_Session, Action.m_Sequence});
  if (Found == m_Renewals.end()) {
    return;
  }
  const auto Respond = std::move(Found->second);
  m_Renewals.erase(Found);
  Respond({{ResultCode::Unauthorized, "the session has ended", ""},
           Duration(0),
           {}});
}

void ControlNode::perform(Instant, const PushGroupView &Action) {
  std::vector<GroupView> &Views = m_Pushes[Action.m_Session].m_Views;
  // A later record of the group replaces the earlier one.
  std::erase_if(Views, [&](const GroupView &Each) {
    return Each.m_Group == Action.m_View.m_Group;
  });
  Views.push_back(Action.m_View);
}

void ControlNode::perform(Instant, const PushCatalogue &Action) {
  m_Pushes[Action.m_Session].m_Catalogue = Action.m_Delta;
}

void ControlNode::perform(Instant, const PushSessionHomes &Action) {
  m_Pushes[Action.m_Session].m_Homes = sharedHomesView(*Action.m_Homes);
}

void ControlNode::perform(Instant Now, const CallBackend &Action) {
  if (Action.m_Kind != BackendCallKind::Promote) {
    m_Hooks.m_CallBackend(Action);
    return;
  }
  // A leader that was replaced without having noticed it must not promote a
  // server, so the call waits until the leadership is confirmed. If the
  // confirmation is dropped, the call times out and is repeated.
  const std::uint64_t Token = PromotionTokenBit | ++m_LastTokenNumber;
  if (m_Log->confirmLeadership(Now, ConfirmationToken(Token))) {
    m_Promotions[Token] = {Action, Now};
  }
}

void ControlNode::perform(Instant, const WriteTimelineLine &Action) {
  logInfo(Part::Control, "{}", Action.m_Text);
  m_Hooks.m_WriteTimeline(Action.m_Text);
}

} // namespace ragwortmux
