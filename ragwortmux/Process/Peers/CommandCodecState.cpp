#include "ragwortmux/Process/Peers/CommandCodec.h"

#include "ragwortmux/Process/Peers/CommandCodecBytes.h"
#include "ragwortmux/Process/Peers/CommandCodecRecords.h"
#include "ragwortmux/Version/ControlStateData.h"
#include "ragwortmux/Version/RequestKeyTime.h"

namespace ragwortmux {

namespace {

/// The version of the snapshot's format.
constexpr std::uint16_t FormatVersion = 1;

void writeItem(stored::Item::Builder Out, const CatalogueItem &Item) {
  Out.setRevision(Item.m_Revision.value());
  writeEntry(Out.initEntry(), Item.m_Entry);
}

CatalogueItem readItem(stored::Item::Reader In) {
  return {Revision(In.getRevision()), readEntry(In.getEntry())};
}

void writeDeletion(stored::Deletion::Builder Out,
                   const CatalogueDeletion &Deletion) {
  Out.setRevision(Deletion.m_Revision.value());
  Out.setName(toText(Deletion.m_Name.value()));
}

CatalogueDeletion readDeletion(stored::Deletion::Reader In) {
  return {Revision(In.getRevision()), readId<EntryName>(In.getName())};
}

void writeChange(stored::Change::Builder Out, const CatalogueChange &Change) {
  Out.setRevision(Change.m_Revision.value());
  Out.setExpected(Change.m_Expected.value());
  Out.setChange(toText(Change.m_Change.value()));
  Out.setOperatorName(toText(Change.m_Operator));
  Out.setAtMs(toMilliseconds(Change.m_At));
  Out.setDeleted(Change.m_Deleted);
  writeEntry(Out.initEntry(), Change.m_Entry);
}

CatalogueChange readChange(stored::Change::Reader In) {
  return {Revision(In.getRevision()),       Revision(In.getExpected()),
          readId<ChangeId>(In.getChange()), toString(In.getOperatorName()),
          fromMilliseconds(In.getAtMs()),   In.getDeleted(),
          readEntry(In.getEntry())};
}

void writeWorkspaceItem(stored::WorkspaceItem::Builder Out,
                        const WorkspaceItem &Item) {
  Out.setRevision(Item.m_Revision.value());
  writeWorkspace(Out.initWorkspace(), Item.m_Workspace);
}

WorkspaceItem readWorkspaceItem(stored::WorkspaceItem::Reader In) {
  return {Revision(In.getRevision()), readWorkspace(In.getWorkspace())};
}

void writeWorkspaceDeletion(stored::WorkspaceDeletion::Builder Out,
                            const WorkspaceDeletion &Deletion) {
  Out.setRevision(Deletion.m_Revision.value());
  Out.setName(toText(Deletion.m_Name.value()));
}

WorkspaceDeletion readWorkspaceDeletion(stored::WorkspaceDeletion::Reader In) {
  return {Revision(In.getRevision()), readId<WorkspaceId>(In.getName())};
}

void writeWorkspaceChange(stored::WorkspaceChange::Builder Out,
                          const WorkspaceChange &Change) {
  Out.setRevision(Change.m_Revision.value());
  Out.setExpected(Change.m_Expected.value());
  Out.setChange(toText(Change.m_Change.value()));
  Out.setDeleted(Change.m_Deleted);
  writeWorkspace(Out.initWorkspace(), Change.m_Workspace);
}

WorkspaceChange readWorkspaceChange(stored::WorkspaceChange::Reader In) {
  return {Revision(In.getRevision()), Revision(In.getExpected()),
          readId<ChangeId>(In.getChange()), In.getDeleted(),
          readWorkspace(In.getWorkspace())};
}

void writeWorkspaces(stored::Workspaces::Builder Out,
                     const WorkspaceTableData &Data) {
  writeList(Out.initItems(sizeOf(Data.m_Items)), Data.m_Items,
            writeWorkspaceItem);
  writeList(Out.initDeletions(sizeOf(Data.m_Deletions)), Data.m_Deletions,
            writeWorkspaceDeletion);
  writeList(Out.initRecent(sizeOf(Data.m_RecentChanges)), Data.m_RecentChanges,
            writeWorkspaceChange);
  Out.setForgottenDeletion(Data.m_LastPrunedDeletion.value());
}

WorkspaceTableData readWorkspaces(stored::Workspaces::Reader In) {
  return {readList(In.getItems(), readWorkspaceItem),
          readList(In.getDeletions(), readWorkspaceDeletion),
          readList(In.getRecent(), readWorkspaceChange),
          Revision(In.getForgottenDeletion())};
}

void writeCatalogue(stored::Catalogue::Builder Out, const CatalogueData &Data) {
  Out.setRevision(Data.m_Revision.value());
  Out.setForgottenDeletion(Data.m_LastPrunedDeletion.value());
  writeList(Out.initItems(sizeOf(Data.m_Items)), Data.m_Items, writeItem);
  writeList(Out.initDeletions(sizeOf(Data.m_Deletions)), Data.m_Deletions,
            writeDeletion);
  writeList(Out.initHistory(sizeOf(Data.m_History)), Data.m_History,
            writeChange);
  writeList(Out.initRecent(sizeOf(Data.m_RecentChanges)), Data.m_RecentChanges,
            writeChange);
  Out.setVersion(Data.m_Version.value());
  Out.setDocument(toText(Data.m_Document));
  writeList(Out.initGroups(sizeOf(Data.m_Groups)), Data.m_Groups, writePolicy);
  writeWorkspaces(Out.initWorkspaces(), Data.m_Workspaces);
}

CatalogueData readCatalogue(stored::Catalogue::Reader In) {
  return {Revision(In.getRevision()),
          Revision(In.getForgottenDeletion()),
          readList(In.getItems(), readItem),
          readList(In.getDeletions(), readDeletion),
          readList(In.getHistory(), readChange),
          readList(In.getRecent(), readChange),
          CatalogueVersion(In.getVersion()),
          toString(In.getDocument()),
          readList(In.getGroups(), readPolicy),
          readWorkspaces(In.getWorkspaces())};
}

void writeSession(stored::Session::Builder Out, const SessionRecord &Session) {
  Out.setId(Session.m_Session.value());
  writeOpenSession(Out.initOpened(),
                   {Session.m_Host, Session.m_Incarnation, Session.m_Domain,
                    Session.m_Address, Session.m_RpcPort});
}

SessionRecord readSession(stored::Session::Reader In) {
  const OpenSession Opened = readOpenSession(In.getOpened());
  return {ControlSessionId(In.getId()),
          Opened.m_Host,
          Opened.m_Incarnation,
          Opened.m_Domain,
          Opened.m_Address,
          Opened.m_RpcPort};
}

void writeServer(stored::Server::Builder Out, const GroupId &Group,
                 const ServerRecord &Server) {
  writeRegisterServer(Out.initRegistered(),
                      {Group, Server.m_Server, Server.m_Domain,
                       Server.m_Address, Server.m_Port, Server.m_Slots,
                       Server.m_ConnectionLimit, ReplicationMode::InSyncSet});
  Out.setSync(static_cast<std::uint8_t>(Server.m_Sync));
  Out.setSyncRevision(Server.m_SyncRevision.value());
  Out.setLeaving(Server.m_Leaving);
  Out.setAnnounced(Server.m_Announced);
  Out.setEnded(Server.m_HasEnded);
}

ServerRecord readServer(stored::Server::Reader In) {
  const RegisterServer Registered = readRegisterServer(In.getRegistered());
  return {Registered.m_Server,
          Registered.m_Domain,
          Registered.m_Address,
          Registered.m_Port,
          Registered.m_Slots,
          Registered.m_ConnectionLimit,
          readEnumeration(In.getSync(), SyncState::InSync),
          Revision(In.getSyncRevision()),
          In.getLeaving(),
          In.getAnnounced(),
          In.getEnded()};
}

void writeGroup(stored::Group::Builder Out, const GroupRecord &Group) {
  Out.setId(toText(Group.m_Group.value()));
  Out.setRevision(Group.m_Revision.value());
  Out.setTerm(Group.m_Term.value());
  Out.setHasPrimary(Group.m_Primary.has_value());
  if (Group.m_Primary)
    Out.setPrimary(toText(Group.m_Primary->value()));
  Out.setHasPrevious(Group.m_Previous.has_value());
  if (Group.m_Previous)
    Out.setPrevious(toText(Group.m_Previous->value()));
  Out.setTermRevision(Group.m_TermRevision.value());
  Out.setLastSession(Group.m_LastSession.value());
  Out.setReplication(static_cast<std::uint8_t>(Group.m_Replication));
  Out.setServerTerm(Group.m_ServerTerm.value());
  writeIds(Out.initOrdered(sizeOf(Group.m_Ordered)), Group.m_Ordered);
  auto Servers = Out.initServers(static_cast<unsigned>(Group.m_Servers.size()));
  unsigned Position = 0;
  for (const auto &[Id, Server] : Group.m_Servers)
    writeServer(Servers[Position++], Group.m_Group, Server);
}

GroupRecord readGroup(stored::Group::Reader In) {
  GroupRecord Group;
  Group.m_Group = readId<GroupId>(In.getId());
  Group.m_Revision = Revision(In.getRevision());
  Group.m_Term = Term(In.getTerm());
  if (In.getHasPrimary())
    Group.m_Primary = readId<ServerId>(In.getPrimary());
  if (In.getHasPrevious())
    Group.m_Previous = readId<ServerId>(In.getPrevious());
  Group.m_TermRevision = Revision(In.getTermRevision());
  Group.m_LastSession = ControlSessionId(In.getLastSession());
  Group.m_Replication =
      readEnumeration(In.getReplication(), ReplicationMode::Delegated);
  Group.m_ServerTerm = Term(In.getServerTerm());
  for (const auto Server : In.getOrdered())
    Group.m_Ordered.insert(readId<ServerId>(Server));
  for (const auto Row : In.getServers()) {
    ServerRecord Server = readServer(Row);
    Group.m_Servers[Server.m_Server] = Server;
  }
  KJ_REQUIRE(!Group.m_Primary || Group.m_Servers.contains(*Group.m_Primary),
             "the primary is not a server of the group");
  return Group;
}

void writeShare(stored::Share::Builder Out, const ShareRecord &Share) {
  Out.setGroup(toText(Share.m_Group.value()));
  Out.setServer(toText(Share.m_Server.value()));
  Out.setSession(Share.m_Session.value());
  Out.setShare(Share.m_Share);
  Out.setHeld(Share.m_MaxOpen);
  Out.setShareRevision(Share.m_ShareRevision.value());
}

ShareRecord readShare(stored::Share::Reader In) {
  return {readId<GroupId>(In.getGroup()),
          readId<ServerId>(In.getServer()),
          ControlSessionId(In.getSession()),
          In.getShare(),
          In.getHeld(),
          Revision(In.getShareRevision())};
}

void writeRecord(stored::LedgerRecord::Builder Out,
                 const LedgerRecord &Record) {
  writeReserveKey(Out.initReserved(),
                  {Record.m_Owner, Record.m_Key, Record.m_Attempt,
                   Record.m_Session, Record.m_Group, Record.m_Term});
  Out.setPhase(static_cast<std::uint8_t>(Record.m_Phase));
  Out.setCode(static_cast<std::uint16_t>(Record.m_Code));
  Out.setAnswer(toData(Record.m_Answer));
}

LedgerRecord readRecord(stored::LedgerRecord::Reader In) {
  const ReserveKey Reserved = readReserveKey(In.getReserved());
  KJ_REQUIRE(requestKeyTime(Reserved.m_Key).has_value(),
             "not a canonical request key");
  return {Reserved.m_Owner,
          Reserved.m_Key,
          Reserved.m_Attempt,
          Reserved.m_Session,
          Reserved.m_Group,
          Reserved.m_Term,
          readEnumeration(In.getPhase(), LedgerPhase::NotRun),
          readCode(In.getCode()),
          toString(In.getAnswer())};
}

void writeHomeAddress(stored::HomeAddress::Builder Out, const HostId &Host,
                      const SessionHomeAddress &Home) {
  Out.setHost(toText(Host.value()));
  Out.setDomain(toText(Home.m_Domain.value()));
  Out.setAddress(toText(Home.m_Address));
  Out.setRpcPort(Home.m_RpcPort);
}

std::pair<HostId, SessionHomeAddress>
readHomeAddress(stored::HomeAddress::Reader In) {
  return {readId<HostId>(In.getHost()),
          {readId<FailureDomainId>(In.getDomain()), toString(In.getAddress()),
           In.getRpcPort()}};
}

void writeHomes(stored::Homes::Builder Out, const SessionHomeLists &Homes) {
  Out.setRevision(Homes.m_Revision.value());
  writeIds(Out.initActive(sizeOf(Homes.m_Active)), Homes.m_Active);
  writeIds(Out.initPreparing(sizeOf(Homes.m_Preparing)), Homes.m_Preparing);
  auto Addresses =
      Out.initAddresses(static_cast<unsigned>(Homes.m_Addresses.size()));
  unsigned Position = 0;
  for (const auto &[Host, Home] : Homes.m_Addresses)
    writeHomeAddress(Addresses[Position++], Host, Home);
}

SessionHomeLists readHomes(stored::Homes::Reader In) {
  const auto Addresses = readList(In.getAddresses(), readHomeAddress);
  return {Revision(In.getRevision()),
          readIds<HostId>(In.getActive()),
          readIds<HostId>(In.getPreparing()),
          {Addresses.begin(), Addresses.end()}};
}

ControlStateData readState(stored::State::Reader In) {
  KJ_REQUIRE(In.getVersion() == FormatVersion, "unknown format version");
  ControlStateData Data;
  Data.m_Time = fromMilliseconds(In.getTimeMs());
  Data.m_Catalogue = readCatalogue(In.getCatalogue());
  Data.m_LastSession = ControlSessionId(In.getLastSession());
  Data.m_Sessions = readList(In.getSessions(), readSession);
  Data.m_Groups = readList(In.getGroups(), readGroup);
  Data.m_Shares = readList(In.getShares(), readShare);
  Data.m_Ledger = readList(In.getLedger(), readRecord);
  Data.m_Voters = readList(In.getVoters(), readVoter);
  Data.m_Homes = readHomes(In.getHomes());
  return Data;
}

} // namespace

std::string encodeState(const ControlStateData &Data) {
  return encodeStored<stored::State>([&](stored::State::Builder Out) {
    Out.setVersion(FormatVersion);
    Out.setTimeMs(toMilliseconds(Data.m_Time));
    writeCatalogue(Out.initCatalogue(), Data.m_Catalogue);
    Out.setLastSession(Data.m_LastSession.value());
    writeList(Out.initSessions(sizeOf(Data.m_Sessions)), Data.m_Sessions,
              writeSession);
    writeList(Out.initGroups(sizeOf(Data.m_Groups)), Data.m_Groups, writeGroup);
    writeList(Out.initShares(sizeOf(Data.m_Shares)), Data.m_Shares, writeShare);
    writeList(Out.initLedger(sizeOf(Data.m_Ledger)), Data.m_Ledger,
              writeRecord);
    writeList(Out.initVoters(sizeOf(Data.m_Voters)), Data.m_Voters, writeVoter);
    writeHomes(Out.initHomes(), Data.m_Homes);
  });
}

std::optional<ControlStateData> decodeState(std::string_view Bytes,
                                            std::string &Reason) {
  return decodeStored<stored::State, ControlStateData>(Bytes, Reason,
                                                       readState);
}

} // namespace ragwortmux
