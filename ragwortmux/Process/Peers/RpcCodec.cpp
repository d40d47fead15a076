#include "ragwortmux/Process/Peers/RpcCodec.h"

#include "ragwortmux/Process/Peers/CapnpBytes.h"

namespace ragwortmux {

/// Writes each of \p Values into the list \p Out with writeRpc().
template <typename List, typename Items>
static void writeList(List Out, const Items &Values) {
  unsigned Position = 0;
  for (const auto &Value : Values) {
    writeRpc(Out[Position++], Value);
  }
}

template <typename Items> static unsigned sizeOf(const Items &Values) {
  return static_cast<unsigned>(Values.size());
}

static void writeRpc(rpc::ServerView::Builder Out, const ServerView &View) {
  Out.setServer(toText(View.m_Server.value()));
  Out.setDomain(toText(View.m_Domain.value()));
  Out.setAddress(toText(View.m_Address));
  Out.setPort(View.m_Port);
  Out.setSync(static_cast<std::uint8_t>(View.m_Sync));
  Out.setLeaving(View.m_Leaving);
  Out.setAnnounced(View.m_Announced);
  Out.setConnectionShare(View.m_ConnectionShare);
  Out.setSlots(View.m_Slots);
}

static ServerView readRpc(rpc::ServerView::Reader In) {
  ServerView View;
  View.m_Server = ServerId(toString(In.getServer()));
  View.m_Domain = FailureDomainId(toString(In.getDomain()));
  View.m_Address = toString(In.getAddress());
  View.m_Port = In.getPort();
  View.m_Sync = static_cast<SyncState>(In.getSync());
  View.m_Leaving = In.getLeaving();
  View.m_Announced = In.getAnnounced();
  View.m_ConnectionShare = In.getConnectionShare();
  View.m_Slots = In.getSlots();
  return View;
}

static void writeRpc(rpc::GroupView::Builder Out, const GroupView &View) {
  Out.setGroup(toText(View.m_Group.value()));
  Out.setRevision(View.m_Revision.value());
  Out.setTerm(View.m_Term.value());
  Out.setHasPrimary(View.m_Primary.has_value());
  if (View.m_Primary) {
    Out.setPrimary(toText(View.m_Primary->value()));
  }
  writeList(Out.initServers(sizeOf(View.m_Servers)), View.m_Servers);
}

static GroupView readRpc(rpc::GroupView::Reader In) {
  GroupView View;
  View.m_Group = GroupId(toString(In.getGroup()));
  View.m_Revision = Revision(In.getRevision());
  View.m_Term = Term(In.getTerm());
  if (In.getHasPrimary()) {
    View.m_Primary = ServerId(toString(In.getPrimary()));
  }
  for (const auto Server : In.getServers()) {
    View.m_Servers.push_back(readRpc(Server));
  }
  return View;
}

void writeRpc(rpc::CatalogueEntry::Builder Out, const CatalogueEntry &Entry) {
  const EntryLimits &Limits = Entry.m_Limits;
  Out.setName(toText(Entry.m_Name.value()));
  Out.setGroup(toText(Entry.m_Group.value()));
  Out.setOwner(toText(Entry.m_Owner.value()));
  Out.setTrafficClass(static_cast<std::uint8_t>(Entry.m_Class));
  Out.setMaxConcurrent(Limits.m_MaxConcurrent);
  Out.setMaxQueued(Limits.m_MaxQueued);
  Out.setDeadlineUs(Limits.m_RequestDeadline.count());
  Out.setMaxAnswerBytes(Limits.m_MaxAnswerBytes);
  Out.setMaxAgeUs(Limits.m_MaxAge.count());
  Out.setLatencyTargetUs(Limits.m_LatencyTarget.count());
  Out.setTransactionIdleUs(Limits.m_TransactionIdle.count());
  Out.setPriority(Limits.m_Priority);
  Out.setRequiresKey(Entry.m_RequiresKey);
}

CatalogueEntry readRpc(rpc::CatalogueEntry::Reader In) {
  CatalogueEntry Entry;
  Entry.m_Name = EntryName(toString(In.getName()));
  Entry.m_Group = GroupId(toString(In.getGroup()));
  Entry.m_Owner = OwnerId(toString(In.getOwner()));
  Entry.m_Class = static_cast<TrafficClass>(In.getTrafficClass());
  EntryLimits &Limits = Entry.m_Limits;
  Limits.m_MaxConcurrent = In.getMaxConcurrent();
  Limits.m_MaxQueued = In.getMaxQueued();
  Limits.m_RequestDeadline = Duration(In.getDeadlineUs());
  Limits.m_MaxAnswerBytes = In.getMaxAnswerBytes();
  Limits.m_MaxAge = Duration(In.getMaxAgeUs());
  Limits.m_LatencyTarget = Duration(In.getLatencyTargetUs());
  Limits.m_TransactionIdle = Duration(In.getTransactionIdleUs());
  Limits.m_Priority = In.getPriority();
  Entry.m_RequiresKey = In.getRequiresKey();
  return Entry;
}

static void writeRpc(rpc::CatalogueItem::Builder Out,
                     const CatalogueItem &Item) {
  Out.setRevision(Item.m_Revision.value());
  writeRpc(Out.initEntry(), Item.m_Entry);
}

static CatalogueItem readRpc(rpc::CatalogueItem::Reader In) {
  CatalogueItem Item;
  Item.m_Revision = Revision(In.getRevision());
  Item.m_Entry = readRpc(In.getEntry());
  return Item;
}

static void writeRpc(rpc::WorkspaceItem::Builder Out,
                     const WorkspaceItem &Item) {
  Out.setRevision(Item.m_Revision.value());
  auto Body = Out.initWorkspace();
  Body.setName(toText(Item.m_Workspace.m_Name.value()));
  auto Keys = Body.initKeys(sizeOf(Item.m_Workspace.m_Keys));
  unsigned Position = 0;
  for (const KeyDigest &Key : Item.m_Workspace.m_Keys) {
    Keys.set(Position++, toData(Key.value()));
  }
  Body.setRatePerSecond(Item.m_Workspace.m_Limit.m_RatePerSecond);
  Body.setBurst(Item.m_Workspace.m_Limit.m_Burst);
}

static WorkspaceItem readRpc(rpc::WorkspaceItem::Reader In) {
  WorkspaceItem Item;
  Item.m_Revision = Revision(In.getRevision());
  const auto Body = In.getWorkspace();
  Item.m_Workspace.m_Name = WorkspaceId(toString(Body.getName()));
  for (const auto Key : Body.getKeys()) {
    Item.m_Workspace.m_Keys.emplace_back(toString(Key));
  }
  Item.m_Workspace.m_Limit = {Body.getRatePerSecond(), Body.getBurst()};
  return Item;
}

static void writeRpc(rpc::CatalogueDelta::Builder Out,
                     const CatalogueDelta &Delta) {
  Out.setFrom(Delta.m_From.value());
  Out.setRevision(Delta.m_Revision.value());
  Out.setWhole(Delta.m_IsWhole);
  writeList(Out.initItems(sizeOf(Delta.m_Items)), Delta.m_Items);
  auto Deletions = Out.initDeletions(sizeOf(Delta.m_Deletions));
  unsigned Position = 0;
  for (const CatalogueDeletion &Deletion : Delta.m_Deletions) {
    Deletions.set(Position++, toText(Deletion.m_Name.value()));
  }
  writeList(Out.initWorkspaces(sizeOf(Delta.m_Workspaces)), Delta.m_Workspaces);
  auto Removed = Out.initWorkspaceDeletions(sizeOf(Delta.m_WorkspaceDeletions));
  Position = 0;
  for (const WorkspaceDeletion &Deletion : Delta.m_WorkspaceDeletions) {
    Removed.set(Position++, toText(Deletion.m_Name.value()));
  }
}

static CatalogueDelta readRpc(rpc::CatalogueDelta::Reader In) {
  CatalogueDelta Delta;
  Delta.m_From = Revision(In.getFrom());
  Delta.m_Revision = Revision(In.getRevision());
  Delta.m_IsWhole = In.getWhole();
  for (const auto Item : In.getItems()) {
    Delta.m_Items.push_back(readRpc(Item));
  }
  for (const auto Name : In.getDeletions()) {
    Delta.m_Deletions.push_back({Revision(), EntryName(toString(Name))});
  }
  for (const auto Item : In.getWorkspaces()) {
    Delta.m_Workspaces.push_back(readRpc(Item));
  }
  for (const auto Name : In.getWorkspaceDeletions()) {
    Delta.m_WorkspaceDeletions.push_back(
        {Revision(), WorkspaceId(toString(Name))});
  }
  return Delta;
}

static void writeRpc(rpc::SessionHomes::Builder Out,
                     const SessionHomesView &Homes) {
  Out.setRevision(Homes.m_Revision.value());
  writeList(Out.initActive(sizeOf(Homes.m_Active)), Homes.m_Active);
  writeList(Out.initPreparing(sizeOf(Homes.m_Preparing)), Homes.m_Preparing);
}

static SessionHomesView readRpc(rpc::SessionHomes::Reader In) {
  SessionHomesView Homes;
  Homes.m_Revision = Revision(In.getRevision());
  for (const auto Host : In.getActive()) {
    Homes.m_Active.push_back(readRpc(Host));
  }
  for (const auto Host : In.getPreparing()) {
    Homes.m_Preparing.push_back(readRpc(Host));
  }
  return Homes;
}

static void writeRpc(rpc::LedgerRecord::Builder Out,
                     const LedgerRecord &Record) {
  Out.setOwner(toText(Record.m_Owner.value()));
  Out.setKey(toText(Record.m_Key.value()));
  Out.setAttempt(toText(Record.m_Attempt.value()));
  Out.setSession(Record.m_Session.value());
  Out.setGroup(toText(Record.m_Group.value()));
  Out.setTerm(Record.m_Term.value());
  Out.setPhase(static_cast<std::uint8_t>(Record.m_Phase));
  Out.setCode(static_cast<std::uint16_t>(Record.m_Code));
  Out.setAnswer(toData(Record.m_Answer));
}

static LedgerRecord readRpc(rpc::LedgerRecord::Reader In) {
  LedgerRecord Record;
  Record.m_Owner = OwnerId(toString(In.getOwner()));
  Record.m_Key = RequestKey(toString(In.getKey()));
  Record.m_Attempt = AttemptId(toString(In.getAttempt()));
  Record.m_Session = ControlSessionId(In.getSession());
  Record.m_Group = GroupId(toString(In.getGroup()));
  Record.m_Term = Term(In.getTerm());
  Record.m_Phase = static_cast<LedgerPhase>(In.getPhase());
  Record.m_Code = static_cast<ResultCode>(In.getCode());
  Record.m_Answer = toString(In.getAnswer());
  return Record;
}

void writeRpc(rpc::Update::Builder Out, const ControlUpdate &Update) {
  writeList(Out.initViews(sizeOf(Update.m_Views)), Update.m_Views);
  Out.setHasCatalogue(Update.m_Catalogue.has_value());
  if (Update.m_Catalogue) {
    writeRpc(Out.initCatalogue(), *Update.m_Catalogue);
  }
  Out.setHasHomes(Update.m_Homes != nullptr);
  if (Update.m_Homes) {
    writeRpc(Out.initHomes(), *Update.m_Homes);
  }
}

ControlUpdate readRpc(rpc::Update::Reader In) {
  ControlUpdate Update;
  for (const auto View : In.getViews()) {
    Update.m_Views.push_back(readRpc(View));
  }
  if (In.getHasCatalogue()) {
    Update.m_Catalogue = readRpc(In.getCatalogue());
  }
  if (In.getHasHomes()) {
    Update.m_Homes =
        std::make_shared<const SessionHomesView>(readRpc(In.getHomes()));
  }
  return Update;
}

void writeRpc(rpc::Confirmation::Builder Out, const Confirmation &Confirmed) {
  auto Groups = Out.initGroups(sizeOf(Confirmed.m_Groups));
  unsigned Position = 0;
  for (const auto &[Group, ConfirmedRevision] : Confirmed.m_Groups) {
    Groups[Position].setGroup(toText(Group.value()));
    Groups[Position].setRevision(ConfirmedRevision.value());
    ++Position;
  }
  Out.setCatalogue(Confirmed.m_Catalogue.value());
  Out.setHomes(Confirmed.m_Homes.value());
}

Confirmation readRpc(rpc::Confirmation::Reader In) {
  Confirmation Confirmed;
  for (const auto Ack : In.getGroups()) {
    Confirmed.m_Groups[GroupId(toString(Ack.getGroup()))] =
        Revision(Ack.getRevision());
  }
  Confirmed.m_Catalogue = Revision(In.getCatalogue());
  Confirmed.m_Homes = Revision(In.getHomes());
  return Confirmed;
}

void writeRpc(rpc::Status::Builder Out, const ControlStatus &Status) {
  Out.setCode(static_cast<std::uint16_t>(Status.m_Code));
  Out.setReason(toText(Status.m_Reason));
  Out.setLeader(toText(Status.m_Leader));
}

ControlStatus readRpc(rpc::Status::Reader In) {
  ControlStatus Status;
  Status.m_Code = static_cast<ResultCode>(In.getCode());
  Status.m_Reason = toString(In.getReason());
  Status.m_Leader = toString(In.getLeader());
  return Status;
}

void writeRpc(rpc::CommandResult::Builder Out, const CommandReply &Reply) {
  const ControlResult &Result = Reply.m_Result;
  ControlStatus Status = Reply.m_Status;
  if (Status.ok()) {
    Status.m_Code = Result.m_Code;
    Status.m_Reason = Result.m_Reason;
  }
  writeRpc(Out.initStatus(), Status);
  Out.setRevision(Result.m_Revision.value());
  Out.setSession(Result.m_Session.value());
  Out.setHasWinner(Result.m_CurrentItem.has_value());
  if (Result.m_CurrentItem) {
    writeRpc(Out.initWinner(), *Result.m_CurrentItem);
  }
  Out.setHasLedger(Result.m_Ledger.has_value());
  if (Result.m_Ledger) {
    writeRpc(Out.initLedger(), *Result.m_Ledger);
  }
}

CommandReply readRpc(rpc::CommandResult::Reader In) {
  CommandReply Reply;
  Reply.m_Status = readRpc(In.getStatus());
  Reply.m_Result.m_Code = Reply.m_Status.m_Code;
  Reply.m_Result.m_Reason = Reply.m_Status.m_Reason;
  Reply.m_Result.m_Revision = Revision(In.getRevision());
  Reply.m_Result.m_Session = ControlSessionId(In.getSession());
  if (In.getHasWinner()) {
    Reply.m_Result.m_CurrentItem = readRpc(In.getWinner());
  }
  if (In.getHasLedger()) {
    Reply.m_Result.m_Ledger = readRpc(In.getLedger());
  }
  return Reply;
}

void writeRpc(rpc::EntryHost::Builder Out, const EntryAddress &Host) {
  Out.setHost(toText(Host.m_Host.value()));
  Out.setDomain(toText(Host.m_Domain.value()));
  Out.setAddress(toText(Host.m_Address));
  Out.setPort(Host.m_Port);
}

EntryAddress readRpc(rpc::EntryHost::Reader In) {
  return {HostId(toString(In.getHost())),
          FailureDomainId(toString(In.getDomain())), toString(In.getAddress()),
          In.getPort()};
}

void writeRpc(rpc::Announcement::Builder Out,
              const ServerAnnouncement &Announcement) {
  Out.setGroup(toText(Announcement.m_Group.value()));
  Out.setServer(toText(Announcement.m_Server.value()));
  Out.setDomain(toText(Announcement.m_Domain.value()));
  Out.setAddress(toText(Announcement.m_Address));
  Out.setPort(Announcement.m_Port);
  Out.setPrimary(Announcement.m_Role == BackendRole::Primary);
  Out.setTerm(Announcement.m_Point.m_Term.value());
  Out.setPosition(Announcement.m_Point.m_Position.value());
  Out.setSlots(Announcement.m_Slots);
  Out.setConnections(Announcement.m_ConnectionLimit);
  Out.setLeaving(Announcement.m_Leaving);
  Out.setGone(Announcement.m_HasEnded);
  Out.setDelegated(Announcement.m_Delegated);
  Out.setIncarnation(Announcement.m_Incarnation);
  Out.setSequence(Announcement.m_Sequence);
}

ServerAnnouncement readRpc(rpc::Announcement::Reader In) {
  ServerAnnouncement Announcement;
  Announcement.m_Group = GroupId(toString(In.getGroup()));
  Announcement.m_Server = ServerId(toString(In.getServer()));
  Announcement.m_Domain = FailureDomainId(toString(In.getDomain()));
  Announcement.m_Address = toString(In.getAddress());
  Announcement.m_Port = In.getPort();
  Announcement.m_Role =
      In.getPrimary() ? BackendRole::Primary : BackendRole::Replica;
  Announcement.m_Point = {Term(In.getTerm()), LogPosition(In.getPosition())};
  Announcement.m_Slots = In.getSlots();
  Announcement.m_ConnectionLimit = In.getConnections();
  Announcement.m_Leaving = In.getLeaving();
  Announcement.m_HasEnded = In.getGone();
  Announcement.m_Delegated = In.getDelegated();
  Announcement.m_Incarnation = In.getIncarnation();
  Announcement.m_Sequence = In.getSequence();
  return Announcement;
}

void writeRpc(rpc::Suspicion::Builder Out, const ServerSuspicion &Suspicion) {
  Out.setGroup(toText(Suspicion.m_Group.value()));
  Out.setServer(toText(Suspicion.m_Server.value()));
  Out.setEvidence(static_cast<std::uint8_t>(Suspicion.m_Kind));
}

ServerSuspicion readRpc(rpc::Suspicion::Reader In) {
  ServerSuspicion Suspicion;
  Suspicion.m_Group = GroupId(toString(In.getGroup()));
  Suspicion.m_Server = ServerId(toString(In.getServer()));
  Suspicion.m_Kind = static_cast<SuspicionKind>(In.getEvidence());
  return Suspicion;
}

void writeRpc(rpc::Demand::Builder Out, const ShareDemand &Demand) {
  Out.setGroup(toText(Demand.m_Group.value()));
  Out.setServer(toText(Demand.m_Server.value()));
  Out.setConnections(Demand.m_Connections);
}

ShareDemand readRpc(rpc::Demand::Reader In) {
  return {GroupId(toString(In.getGroup())), ServerId(toString(In.getServer())),
          In.getConnections()};
}

void writeRpc(capnp::List<capnp::Text>::Builder Out,
              const std::set<GroupId> &Groups) {
  unsigned Position = 0;
  for (const GroupId &Group : Groups) {
    Out.set(Position++, toText(Group.value()));
  }
}

std::set<GroupId> readRpc(capnp::List<capnp::Text>::Reader In) {
  std::set<GroupId> Groups;
  for (const auto Group : In) {
    Groups.insert(GroupId(toString(Group)));
  }
  return Groups;
}

void writeRpc(rpc::Point::Builder Out, const std::optional<LogPoint> &Point) {
  Out.setKnown(Point.has_value());
  if (Point) {
    Out.setTerm(Point->m_Term.value());
    Out.setPosition(Point->m_Position.value());
  }
}

std::optional<LogPoint> readRpc(rpc::Point::Reader In) {
  if (!In.getKnown()) {
    return std::nullopt;
  }
  return LogPoint{Term(In.getTerm()), LogPosition(In.getPosition())};
}

void writeRpc(rpc::SessionTicket::Builder Out,
              const std::optional<SessionTicket> &Ticket) {
  Out.setGiven(Ticket.has_value());
  if (Ticket) {
    Out.setIncarnation(Ticket->m_Incarnation);
    Out.setRemovals(Ticket->m_Removals);
  }
}

std::optional<SessionTicket> readRpc(rpc::SessionTicket::Reader In) {
  if (!In.getGiven()) {
    return std::nullopt;
  }
  return SessionTicket{In.getIncarnation(), In.getRemovals()};
}

} // namespace ragwortmux
