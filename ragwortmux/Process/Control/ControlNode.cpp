#include "ragwortmux/Process/Control/ControlNode.h"

#include "ragwortmux/Process/Control/ControlQuery.h"
#include "ragwortmux/Process/Control/ControlTokens.h"
#include "ragwortmux/Process/Peers/CommandCodec.h"
#include "ragwortmux/Process/Support/Log.h"

#include <cassert>
#include <utility>

namespace ragwortmux {

namespace {

/// Pause asked of a host that takes permits for a workspace which was removed.
constexpr Duration UnknownWorkspacePause = std::chrono::milliseconds(200);

} // namespace

ControlNode::ControlNode(ControlNodeSettings Settings,
                         std::unique_ptr<LogStorage> Storage,
                         ControlNodeHooks Hooks)
    : m_Settings(std::move(Settings)), m_Storage(std::move(Storage)),
      m_Hooks(std::move(Hooks)), m_State(m_Settings.m_State),
      m_Leader(m_State, m_Settings.m_Leader), m_Limiter(m_Settings.m_Limiter) {}

ControlNode::~ControlNode() = default;

bool ControlNode::open(Instant Now) {
  auto Initial = m_Storage->open();
  if (!Initial) {
    m_LastCode = m_Storage->lastCode();
    m_LastReason = m_Storage->lastReason();
    return false;
  }
  m_Log = std::make_unique<ReplicatedLog>(Now, m_Settings.m_Log,
                                          std::move(*Initial));
  performActions(Now);
  return true;
}

void ControlNode::endBatch(Instant Now) {
  m_IsInBatch = false;
  performActions(Now);
}

void ControlNode::eventHandled(Instant Now) {
  if (!m_IsInBatch) {
    performActions(Now);
  }
}

bool ControlNode::releaseStorage() {
  assert(hasFailed());
  if (m_Storage != nullptr && !m_Storage->discardUnsynced()) {
    m_LastReason = m_Storage->lastReason();
    return false;
  }
  m_Storage = nullptr;
  return true;
}

void ControlNode::receive(Instant Now, const LogEnvelope &Envelope) {
  m_Log->receive(Now, Envelope);
  eventHandled(Now);
}

void ControlNode::tick(Instant Now, WallTime Wall) {
  if (Now >= m_Log->nextTick()) {
    m_Log->tick(Now);
  }
  m_Leader.tick(Now, Wall);
  performActions(Now);
}

void ControlNode::openSession(Instant Now, const OpenSession &Command,
                              const Respond<OpenSessionReply> &Reply) {
  // After a change of leader all processes open their sessions again, which
  // needs no log entries as long as those are open.
  const SessionRecord *Open =
      isServing()
          ? m_State.sessions().find(Command.m_Host, Command.m_Incarnation)
          : nullptr;
  if (Open != nullptr) {
    // The process has connected again; what was on its way to it is lost.
    m_Leader.pushFailed(Open->m_Session);
    Reply({{}, Open->m_Session});
    return;
  }
  command(Now, Command, [Reply](const CommandReply &Outcome) {
    OpenSessionReply Opened;
    Opened.m_Status = Outcome.m_Status;
    Opened.m_Session = Outcome.m_Result.m_Session;
    if (Opened.m_Status.ok() && !Outcome.m_Result.ok()) {
      Opened.m_Status = {Outcome.m_Result.m_Code, Outcome.m_Result.m_Reason,
                         ""};
    }
    Reply(Opened);
  });
}

void ControlNode::renew(Instant Now, const LeaseRenewal &Renewal,
                        Respond<RenewReply> Reply) {
  if (!isServing()) {
    Reply({notLeaderStatus(), Duration(0), {}});
    return;
  }
  m_Renewals[{Renewal.m_Session, Renewal.m_Sequence}] = std::move(Reply);
  m_Leader.renewalReceived(Renewal, Now);
  eventHandled(Now);
}

void ControlNode::report(Instant Now,
                         const std::vector<ServerAnnouncement> &Announcements,
                         const std::vector<ServerSuspicion> &Suspicions,
                         const Respond<ControlStatus> &Reply) {
  if (!isServing()) {
    Reply(notLeaderStatus());
    return;
  }
  for (const ServerAnnouncement &Announcement : Announcements) {
    m_Leader.announcementReceived(Announcement, Now);
  }
  for (const ServerSuspicion &Suspicion : Suspicions) {
    m_Leader.suspicionReported(Suspicion, Now);
  }
  Reply({});
  eventHandled(Now);
}

void ControlNode::command(Instant Now, const ControlCommand &Command,
                          Respond<CommandReply> Reply) {
  if (!isServing()) {
    Reply({notLeaderStatus(), {}});
    return;
  }
  const auto Id = m_Log->propose(Now, encodeCommand(Command));
  if (!Id) {
    Reply({{ResultCode::Unreachable, m_Log->lastReason(), ""}, {}});
    return;
  }
  m_Commands[Id->m_Index] = {Id->m_Term, std::move(Reply)};
  eventHandled(Now);
}

void ControlNode::query(Instant Now, const std::string &QueryKind,
                        const std::string &Name, Respond<QueryReply> Reply) {
  if (!isServing()) {
    Reply({notLeaderStatus(), ""});
    return;
  }
  const std::uint64_t Token = QueryTokenBit | ++m_LastTokenNumber;
  if (!m_Log->confirmLeadership(Now, ConfirmationToken(Token))) {
    Reply({notLeaderStatus(), ""});
    return;
  }
  m_Queries[Token] = {QueryKind, Name, std::move(Reply)};
  eventHandled(Now);
}

void ControlNode::takePermits(Instant Now, ControlSessionId Session,
                              const std::vector<PermitDemand> &Demands,
                              Respond<TakePermitsReply> Reply) {
  if (!isServing()) {
    Reply({notLeaderStatus(), {}});
    return;
  }
  if (!m_Limiter.isEnforced()) {
    Reply({});
    return;
  }
  // A host whose session has ended must open another one first, like for a
  // lease.
  if (m_State.sessions().find(Session) == nullptr) {
    Reply(
        {{ResultCode::Unauthorized, "the control session has ended", ""}, {}});
    return;
  }
  // The permits are issued before the quorum round starts; see
  // WorkspaceLimiter. If the round fails, they are lost.
  PermitGrants Grants;
  Grants.m_Validity = m_Limiter.validity();
  for (const PermitDemand &Demand : Demands) {
    Grants.m_Grants.push_back(issuePermits(Now, Demand));
  }
  const std::uint64_t Token = PermitTokenBit | ++m_LastTokenNumber;
  if (!m_Log->confirmLeadership(Now, ConfirmationToken(Token))) {
    Reply({notLeaderStatus(), {}});
    return;
  }
  m_Permits[Token] = {std::move(Grants), std::move(Reply)};
  eventHandled(Now);
}

PermitGrant ControlNode::issuePermits(Instant Now, const PermitDemand &Demand) {
  const WorkspaceItem *Item =
      m_State.catalogue().workspaces().find(Demand.m_Workspace);
  if (Item == nullptr) {
    PermitGrant Refusal;
    Refusal.m_RetryAfter = UnknownWorkspacePause;
    return Refusal;
  }
  const WorkspaceLimit &Limit = Item->m_Workspace.m_Limit;
  // The host has not yet received the update that lifts the limit.
  if (Limit.m_RatePerSecond == 0) {
    return {Demand.m_Needed, Duration(0), false};
  }
  return m_Limiter.take(Now, Demand, Limit);
}

void ControlNode::revisionsConfirmed(Instant Now, ControlSessionId Session,
                                     const Confirmation &Confirmed) {
  if (!m_Leader.isLeader()) {
    return;
  }
  for (const auto &[Group, ConfirmedRevision] : Confirmed.m_Groups) {
    m_Leader.updateConfirmed(Session, Group, ConfirmedRevision, Now);
  }
  m_Leader.catalogueConfirmed(Session, Confirmed.m_Catalogue, Now);
  m_Leader.homesConfirmed(Session, Confirmed.m_Homes, Now);
  eventHandled(Now);
}

void ControlNode::backendCallCompleted(Instant Now,
                                       const BackendCallResult &Result) {
  if (m_Leader.isLeader()) {
    m_Leader.backendCallCompleted(Result, Now);
  }
  eventHandled(Now);
}

void ControlNode::peersIdentified(Instant Now,
                                  const std::vector<PeerIdentity> &Peers,
                                  bool AllBlank) {
  for (const PeerIdentity &Peer : Peers) {
    if (Peer.m_Voter) {
      m_AddressByVoter[*Peer.m_Voter] = Peer.m_Address;
    }
  }
  // Bootstraps a new log only if every listed control host reported an empty
  // one: a host that has merely lost its disk must not start a second log.
  if (AllBlank && m_Settings.m_Bootstrap && identify().m_Blank) {
    LogMembership Members;
    for (const PeerIdentity &Peer : Peers) {
      if (Peer.m_IsListed) {
        Members.m_Members.push_back({*Peer.m_Voter, Peer.m_Address, true});
      }
    }
    logInfo(Part::Control, "Starting a new log with {} voters.",
            Members.m_Members.size());
    m_Log->bootstrap(Now, Members);
  }
  updateReplacedMembers(Now, Peers);
  if (m_Log->isReady()) {
    const auto Step =
        m_Settings.m_Voters
            ? nextMembershipChangeForDiscoveredPeers(m_Log->membership(), Peers,
                                                     *m_Settings.m_Voters)
            : nextMembershipChangeForListedPeers(m_Log->membership(), Peers);
    if (Step) {
      startVoterStep(Now, *Step);
    }
  }
  eventHandled(Now);
}

void ControlNode::updateReplacedMembers(
    Instant Now, const std::vector<PeerIdentity> &Peers) {
  const std::set<VoterId> Before = m_ReplacedMembers.ids();
  m_ReplacedMembers.update(Now, m_Log->membership(), Peers);
  for (const VoterId &Id : m_ReplacedMembers.ids()) {
    if (!Before.contains(Id)) {
      logInfo(Part::Control,
              "The disk of voter {} is lost: another id answers at {}.",
              Id.value(), m_Log->membership().find(Id)->m_Address);
    }
  }
  m_Log->setReplacedMembers(Now, m_ReplacedMembers.ids());
}

bool ControlNode::shouldAwaitRemoval() const {
  if (!m_Settings.m_Voters || hasFailed()) {
    return false;
  }
  // The newest configuration may lack this host and still be replaced by the
  // one before it.
  return m_Log->log().membershipIndex() > m_Log->commitIndex() ||
         ragwortmux::shouldAwaitRemoval(m_Log->membership(), m_Log->self(),
                                        *m_Settings.m_Voters);
}

IdentifyReply ControlNode::identify() const {
  IdentifyReply Reply;
  for (const LogMember &Member : m_Log->membership().m_Members) {
    Reply.m_Members.push_back(Member.m_Address);
  }
  Reply.m_Voter = m_Log->self().value();
  Reply.m_Blank = m_Log->membership().m_Members.empty();
  const LogIndex Configured = m_Log->log().membershipIndex();
  if (Configured <= m_Log->commitIndex()) {
    Reply.m_Configuration = Configured.value();
  }
  return Reply;
}

void ControlNode::startVoterStep(Instant Now, const MembershipChange &Step) {
  std::optional<EntryId> Proposed;
  switch (Step.m_Kind) {
  case MembershipChange::Kind::AddLearner:
    Proposed = m_Log->addMember(Now, Step.m_Voter, Step.m_Address);
    break;
  case MembershipChange::Kind::Promote:
    Proposed = m_Log->promoteMember(Now, Step.m_Voter);
    break;
  case MembershipChange::Kind::Remove:
    Proposed = m_Log->removeMember(Now, Step.m_Voter);
    break;
  }
  if (Proposed) {
    logInfo(Part::Control, "Changed the voters: step {} with {}.",
            static_cast<int>(Step.m_Kind), Step.m_Voter.value());
  }
}

void ControlNode::failPending() {
  const ControlStatus Status = notLeaderStatus();
  for (auto &[Key, Respond] : std::exchange(m_Renewals, {})) {
    Respond({Status, Duration(0), {}});
  }
  for (auto &[Token, Query] : std::exchange(m_Queries, {})) {
    Query.m_Reply({Status, ""});
  }
  for (auto &[Token, Pending] : std::exchange(m_Permits, {})) {
    Pending.m_Reply({Status, {}});
  }
  // Commands stay pending: they may still be committed, and ProposalDropped
  // reports those that cannot.
}

void ControlNode::answerQuery(const PendingQuery &Query) {
  const auto Json = controlQueryJson(m_State, Query.m_QueryKind, Query.m_Name);
  if (!Json) {
    Query.m_Reply({{ResultCode::CatalogueNotFound, Query.m_Name, ""}, ""});
    return;
  }
  Query.m_Reply({{}, *Json});
}

bool ControlNode::isServing() const {
  return m_Log->isReady() && m_Leader.isLeader();
}

ControlStatus ControlNode::notLeaderStatus() const {
  ControlStatus Status;
  Status.m_Code = ResultCode::NotLeader;
  Status.m_Reason = "this control host does not lead";
  if (m_Log->leader() && *m_Log->leader() != m_Log->self()) {
    const LogMember *Member = m_Log->membership().find(*m_Log->leader());
    Status.m_Leader = Member == nullptr ? "" : Member->m_Address;
  }
  return Status;
}

const std::shared_ptr<const SessionHomesView> &
ControlNode::sharedHomesView(const SessionHomeLists &Homes) {
  if (m_HomesView == nullptr || m_HomesView->m_Revision != Homes.m_Revision) {
    m_HomesView = std::make_shared<const SessionHomesView>(homesView(Homes));
  }
  return m_HomesView;
}

SessionHomesView ControlNode::homesView(const SessionHomeLists &Homes) {
  const auto ToAddresses = [&](const std::vector<HostId> &Hosts) {
    std::vector<EntryAddress> Addresses;
    for (const HostId &Host : Hosts) {
      // Without an address if its session ended before the list was committed.
      // The revision rises when the host opens a session again.
      const auto Found = Homes.m_Addresses.find(Host);
      if (Found == Homes.m_Addresses.end())
        continue;
      const SessionHomeAddress &Home = Found->second;
      Addresses.push_back(
          {Host, Home.m_Domain, Home.m_Address, Home.m_RpcPort});
    }
    return Addresses;
  };
  return {Homes.m_Revision, ToAddresses(Homes.m_Active),
          ToAddresses(Homes.m_Preparing)};
}

} // namespace ragwortmux
