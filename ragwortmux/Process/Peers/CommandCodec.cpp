#include "ragwortmux/Process/Peers/CommandCodec.h"

#include "ragwortmux/Process/Peers/CommandCodecBytes.h"
#include "ragwortmux/Process/Peers/CommandCodecRecords.h"

#include <variant>

namespace ragwortmux {

namespace {

using Union = stored::Command;

void write(Union::Builder Out, const PutEntry &Command) {
  auto Body = Out.initPutEntry();
  Body.setExpected(Command.m_Expected.value());
  Body.setChange(toText(Command.m_Change.value()));
  Body.setOperatorName(toText(Command.m_Operator));
  writeEntry(Body.initEntry(), Command.m_Entry);
}

PutEntry read(stored::PutEntry::Reader In) {
  return {Revision(In.getExpected()), readId<ChangeId>(In.getChange()),
          toString(In.getOperatorName()), readEntry(In.getEntry())};
}

void write(Union::Builder Out, const DeleteEntry &Command) {
  auto Body = Out.initDeleteEntry();
  Body.setExpected(Command.m_Expected.value());
  Body.setChange(toText(Command.m_Change.value()));
  Body.setOperatorName(toText(Command.m_Operator));
  Body.setName(toText(Command.m_Name.value()));
}

DeleteEntry read(stored::DeleteEntry::Reader In) {
  return {Revision(In.getExpected()), readId<ChangeId>(In.getChange()),
          toString(In.getOperatorName()), readId<EntryName>(In.getName())};
}

void write(Union::Builder Out, const OpenSession &Command) {
  writeOpenSession(Out.initOpenSession(), Command);
}

void write(Union::Builder Out, const EndSession &Command) {
  Out.initEndSession().setSession(Command.m_Session.value());
}

void write(Union::Builder Out, const RegisterServer &Command) {
  writeRegisterServer(Out.initRegisterServer(), Command);
}

void write(Union::Builder Out, const SetServerState &Command) {
  auto Body = Out.initSetServerState();
  Body.setGroup(toText(Command.m_Group.value()));
  Body.setServer(toText(Command.m_Server.value()));
  Body.setLeaving(Command.m_Leaving);
  Body.setAnnounced(Command.m_Announced);
  Body.setEnded(Command.m_HasEnded);
}

SetServerState read(stored::SetServerState::Reader In) {
  return {readId<GroupId>(In.getGroup()), readId<ServerId>(In.getServer()),
          In.getLeaving(), In.getAnnounced(), In.getEnded()};
}

void write(Union::Builder Out, const EndTerm &Command) {
  auto Body = Out.initEndTerm();
  Body.setGroup(toText(Command.m_Group.value()));
  Body.setNewTerm(Command.m_NewTerm.value());
}

EndTerm read(stored::EndTerm::Reader In) {
  return {readId<GroupId>(In.getGroup()), Term(In.getNewTerm())};
}

void write(Union::Builder Out, const AppointPrimary &Command) {
  auto Body = Out.initAppointPrimary();
  Body.setGroup(toText(Command.m_Group.value()));
  Body.setTerm(Command.m_Term.value());
  Body.setServer(toText(Command.m_Server.value()));
  writeIds(Body.initKeep(sizeOf(Command.m_Retained)), Command.m_Retained);
  Body.setServerTerm(Command.m_ServerTerm.value());
}

AppointPrimary read(stored::AppointPrimary::Reader In) {
  return {readId<GroupId>(In.getGroup()), Term(In.getTerm()),
          readId<ServerId>(In.getServer()), readIds<ServerId>(In.getKeep()),
          Term(In.getServerTerm())};
}

void write(Union::Builder Out, const OrderPromotion &Command) {
  auto Body = Out.initOrderPromotion();
  Body.setGroup(toText(Command.m_Group.value()));
  Body.setTerm(Command.m_Term.value());
  Body.setServer(toText(Command.m_Server.value()));
}

OrderPromotion read(stored::OrderPromotion::Reader In) {
  return {readId<GroupId>(In.getGroup()), Term(In.getTerm()),
          readId<ServerId>(In.getServer())};
}

void write(Union::Builder Out, const SetInSync &Command) {
  auto Body = Out.initSetInSync();
  Body.setGroup(toText(Command.m_Group.value()));
  Body.setTerm(Command.m_Term.value());
  Body.setServer(toText(Command.m_Server.value()));
  Body.setExpected(Command.m_Expected.value());
  Body.setSync(static_cast<std::uint8_t>(Command.m_Sync));
}

SetInSync read(stored::SetInSync::Reader In) {
  return {readId<GroupId>(In.getGroup()), Term(In.getTerm()),
          readId<ServerId>(In.getServer()), Revision(In.getExpected()),
          readEnumeration(In.getSync(), SyncState::InSync)};
}

void write(Union::Builder Out, const SetShares &Command) {
  auto Body = Out.initSetShares();
  Body.setGroup(toText(Command.m_Group.value()));
  Body.setServer(toText(Command.m_Server.value()));
  auto Grants = Body.initGrants(sizeOf(Command.m_Grants));
  unsigned Position = 0;
  for (const ShareGrant &Grant : Command.m_Grants) {
    auto Row = Grants[Position++];
    Row.setSession(Grant.m_Session.value());
    Row.setConnections(Grant.m_Connections);
  }
}

SetShares read(stored::SetShares::Reader In) {
  SetShares Command{
      readId<GroupId>(In.getGroup()), readId<ServerId>(In.getServer()), {}};
  for (const auto Row : In.getGrants())
    Command.m_Grants.push_back(
        {ControlSessionId(Row.getSession()), Row.getConnections()});
  return Command;
}

void write(Union::Builder Out, const ConfirmShares &Command) {
  auto Body = Out.initConfirmShares();
  Body.setGroup(toText(Command.m_Group.value()));
  Body.setSession(Command.m_Session.value());
  Body.setRevision(Command.m_Revision.value());
}

ConfirmShares read(stored::ConfirmShares::Reader In) {
  return {readId<GroupId>(In.getGroup()), ControlSessionId(In.getSession()),
          Revision(In.getRevision())};
}

void write(Union::Builder Out, const ReserveKey &Command) {
  writeReserveKey(Out.initReserveKey(), Command);
}

void write(Union::Builder Out, const RecordOutcome &Command) {
  auto Body = Out.initRecordOutcome();
  Body.setOwner(toText(Command.m_Owner.value()));
  Body.setKey(toText(Command.m_Key.value()));
  Body.setAttempt(toText(Command.m_Attempt.value()));
  Body.setCode(static_cast<std::uint16_t>(Command.m_Code));
  Body.setAnswer(toData(Command.m_Answer));
}

RecordOutcome read(stored::RecordOutcome::Reader In) {
  return {readId<OwnerId>(In.getOwner()), readId<RequestKey>(In.getKey()),
          readId<AttemptId>(In.getAttempt()), readCode(In.getCode()),
          toString(In.getAnswer())};
}

void write(Union::Builder Out, const ResolveAttempt &Command) {
  auto Body = Out.initResolveAttempt();
  Body.setOwner(toText(Command.m_Owner.value()));
  Body.setKey(toText(Command.m_Key.value()));
  Body.setAttempt(toText(Command.m_Attempt.value()));
  Body.setResolver(Command.m_Resolver.value());
  Body.setTerm(Command.m_Term.value());
  Body.setCommitted(Command.m_Committed);
}

ResolveAttempt read(stored::ResolveAttempt::Reader In) {
  return {readId<OwnerId>(In.getOwner()),
          readId<RequestKey>(In.getKey()),
          readId<AttemptId>(In.getAttempt()),
          ControlSessionId(In.getResolver()),
          Term(In.getTerm()),
          In.getCommitted()};
}

void write(Union::Builder Out, const AdvanceTime &Command) {
  Out.setAdvanceTimeMs(toMilliseconds(Command.m_Now));
}

void write(Union::Builder Out, const SetVoters &Command) {
  writeList(Out.initSetVoters(sizeOf(Command.m_Voters)), Command.m_Voters,
            writeVoter);
}

void write(Union::Builder Out, const SetSessionHomes &Command) {
  auto Body = Out.initSetSessionHomes();
  Body.setExpected(Command.m_Expected.value());
  writeIds(Body.initHosts(sizeOf(Command.m_Hosts)), Command.m_Hosts);
  Body.setActive(Command.m_Active);
}

SetSessionHomes read(stored::SetSessionHomes::Reader In) {
  return {Revision(In.getExpected()), readIds<HostId>(In.getHosts()),
          In.getActive()};
}

void write(Union::Builder Out, const ReplaceCatalogue &Command) {
  auto Body = Out.initReplaceCatalogue();
  Body.setVersion(Command.m_Version.value());
  Body.setDocument(toText(Command.m_Document));
  writeList(Body.initEntries(sizeOf(Command.m_Entries)), Command.m_Entries,
            writeEntry);
  writeList(Body.initGroups(sizeOf(Command.m_Groups)), Command.m_Groups,
            writePolicy);
  writeList(Body.initWorkspaces(sizeOf(Command.m_Workspaces)),
            Command.m_Workspaces, writeWorkspace);
}

ReplaceCatalogue read(stored::ReplaceCatalogue::Reader In) {
  return {CatalogueVersion(In.getVersion()), toString(In.getDocument()),
          readList(In.getEntries(), readEntry),
          readList(In.getGroups(), readPolicy),
          readList(In.getWorkspaces(), readWorkspace)};
}

void write(Union::Builder Out, const PutWorkspace &Command) {
  auto Body = Out.initPutWorkspace();
  Body.setExpected(Command.m_Expected.value());
  Body.setChange(toText(Command.m_Change.value()));
  Body.setOperatorName(toText(Command.m_Operator));
  writeWorkspace(Body.initWorkspace(), Command.m_Workspace);
}

PutWorkspace read(stored::PutWorkspace::Reader In) {
  return {Revision(In.getExpected()), readId<ChangeId>(In.getChange()),
          toString(In.getOperatorName()), readWorkspace(In.getWorkspace())};
}

void write(Union::Builder Out, const DeleteWorkspace &Command) {
  auto Body = Out.initDeleteWorkspace();
  Body.setExpected(Command.m_Expected.value());
  Body.setChange(toText(Command.m_Change.value()));
  Body.setOperatorName(toText(Command.m_Operator));
  Body.setName(toText(Command.m_Name.value()));
}

DeleteWorkspace read(stored::DeleteWorkspace::Reader In) {
  return {Revision(In.getExpected()), readId<ChangeId>(In.getChange()),
          toString(In.getOperatorName()), readId<WorkspaceId>(In.getName())};
}

ControlCommand readCommand(Union::Reader In) {
  switch (In.which()) {
  case Union::PUT_ENTRY:
    return read(In.getPutEntry());
  case Union::DELETE_ENTRY:
    return read(In.getDeleteEntry());
  case Union::OPEN_SESSION:
    return readOpenSession(In.getOpenSession());
  case Union::END_SESSION:
    return EndSession{ControlSessionId(In.getEndSession().getSession())};
  case Union::REGISTER_SERVER:
    return readRegisterServer(In.getRegisterServer());
  case Union::SET_SERVER_STATE:
    return read(In.getSetServerState());
  case Union::END_TERM:
    return read(In.getEndTerm());
  case Union::APPOINT_PRIMARY:
    return read(In.getAppointPrimary());
  case Union::SET_IN_SYNC:
    return read(In.getSetInSync());
  case Union::SET_SHARES:
    return read(In.getSetShares());
  case Union::CONFIRM_SHARES:
    return read(In.getConfirmShares());
  case Union::RESERVE_KEY:
    return readReserveKey(In.getReserveKey());
  case Union::RECORD_OUTCOME:
    return read(In.getRecordOutcome());
  case Union::RESOLVE_ATTEMPT:
    return read(In.getResolveAttempt());
  case Union::ADVANCE_TIME_MS:
    return AdvanceTime{fromMilliseconds(In.getAdvanceTimeMs())};
  case Union::SET_VOTERS:
    return SetVoters{readList(In.getSetVoters(), readVoter)};
  case Union::SET_SESSION_HOMES:
    return read(In.getSetSessionHomes());
  case Union::REPLACE_CATALOGUE:
    return read(In.getReplaceCatalogue());
  case Union::PUT_WORKSPACE:
    return read(In.getPutWorkspace());
  case Union::DELETE_WORKSPACE:
    return read(In.getDeleteWorkspace());
  case Union::ORDER_PROMOTION:
    return read(In.getOrderPromotion());
  case Union::NONE:
    break;
  }
  KJ_FAIL_REQUIRE("unknown command");
}

} // namespace

std::string encodeCommand(const ControlCommand &Command) {
  return encodeStored<stored::Command>([&](stored::Command::Builder Out) {
    std::visit([&](const auto &Typed) { write(Out, Typed); }, Command);
  });
}

std::optional<ControlCommand> decodeCommand(std::string_view Bytes,
                                            std::string &Reason) {
  return decodeStored<stored::Command, ControlCommand>(Bytes, Reason,
                                                       readCommand);
}

} // namespace ragwortmux
