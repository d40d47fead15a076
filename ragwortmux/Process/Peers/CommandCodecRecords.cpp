#include "ragwortmux/Process/Peers/CommandCodecRecords.h"

#include <algorithm>

namespace ragwortmux {

ResultCode readCode(std::uint16_t Number) {
  const auto Rows = allResultCodes();
  const bool Known =
      std::any_of(Rows.begin(), Rows.end(), [Number](const auto &Row) {
        return static_cast<std::uint16_t>(Row.m_Code) == Number;
      });
  KJ_REQUIRE(Known, "unknown result code");
  return static_cast<ResultCode>(Number);
}

void writeEntry(stored::Entry::Builder Out, const CatalogueEntry &Entry) {
  Out.setName(toText(Entry.m_Name.value()));
  Out.setGroup(toText(Entry.m_Group.value()));
  Out.setOwner(toText(Entry.m_Owner.value()));
  Out.setTrafficClass(static_cast<std::uint8_t>(Entry.m_Class));
  Out.setMaxConcurrent(Entry.m_Limits.m_MaxConcurrent);
  Out.setMaxQueued(Entry.m_Limits.m_MaxQueued);
  Out.setDeadlineUs(Entry.m_Limits.m_RequestDeadline.count());
  Out.setMaxAnswerBytes(Entry.m_Limits.m_MaxAnswerBytes);
  Out.setMaxAgeUs(Entry.m_Limits.m_MaxAge.count());
  Out.setLatencyTargetUs(Entry.m_Limits.m_LatencyTarget.count());
  Out.setTransactionIdleUs(Entry.m_Limits.m_TransactionIdle.count());
  Out.setPriority(Entry.m_Limits.m_Priority);
  Out.setRequiresKey(Entry.m_RequiresKey);
}

CatalogueEntry readEntry(stored::Entry::Reader In) {
  CatalogueEntry Entry;
  Entry.m_Name = readId<EntryName>(In.getName());
  Entry.m_Group = readId<GroupId>(In.getGroup());
  Entry.m_Owner = readId<OwnerId>(In.getOwner());
  Entry.m_Class =
      readEnumeration(In.getTrafficClass(), TrafficClass::OwnWritesSession);
  Entry.m_Limits.m_MaxConcurrent = In.getMaxConcurrent();
  Entry.m_Limits.m_MaxQueued = In.getMaxQueued();
  Entry.m_Limits.m_RequestDeadline = Duration(In.getDeadlineUs());
  Entry.m_Limits.m_MaxAnswerBytes = In.getMaxAnswerBytes();
  Entry.m_Limits.m_MaxAge = Duration(In.getMaxAgeUs());
  Entry.m_Limits.m_LatencyTarget = Duration(In.getLatencyTargetUs());
  Entry.m_Limits.m_TransactionIdle = Duration(In.getTransactionIdleUs());
  Entry.m_Limits.m_Priority = In.getPriority();
  Entry.m_RequiresKey = In.getRequiresKey();
  return Entry;
}

void writeWorkspace(stored::Workspace::Builder Out, const Workspace &Source) {
  Out.setName(toText(Source.m_Name.value()));
  auto Keys = Out.initKeys(sizeOf(Source.m_Keys));
  unsigned Position = 0;
  for (const KeyDigest &Key : Source.m_Keys)
    Keys.set(Position++, toData(Key.value()));
  Out.setRatePerSecond(Source.m_Limit.m_RatePerSecond);
  Out.setBurst(Source.m_Limit.m_Burst);
}

Workspace readWorkspace(stored::Workspace::Reader In) {
  Workspace Source;
  Source.m_Name = readId<WorkspaceId>(In.getName());
  for (const auto Key : In.getKeys())
    Source.m_Keys.emplace_back(toString(Key));
  Source.m_Limit = {In.getRatePerSecond(), In.getBurst()};
  return Source;
}

void writeOpenSession(stored::OpenSession::Builder Out,
                      const OpenSession &Command) {
  Out.setHost(toText(Command.m_Host.value()));
  Out.setIncarnation(Command.m_Incarnation.value());
  Out.setDomain(toText(Command.m_Domain.value()));
  Out.setAddress(toText(Command.m_Address));
  Out.setRpcPort(Command.m_RpcPort);
}

OpenSession readOpenSession(stored::OpenSession::Reader In) {
  return {readId<HostId>(In.getHost()), Incarnation(In.getIncarnation()),
          readId<FailureDomainId>(In.getDomain()), toString(In.getAddress()),
          In.getRpcPort()};
}

void writeRegisterServer(stored::RegisterServer::Builder Out,
                         const RegisterServer &Command) {
  Out.setGroup(toText(Command.m_Group.value()));
  Out.setServer(toText(Command.m_Server.value()));
  Out.setDomain(toText(Command.m_Domain.value()));
  Out.setAddress(toText(Command.m_Address));
  Out.setPort(Command.m_Port);
  Out.setSlots(Command.m_Slots);
  Out.setConnectionLimit(Command.m_ConnectionLimit);
  Out.setReplication(static_cast<std::uint8_t>(Command.m_Replication));
}

RegisterServer readRegisterServer(stored::RegisterServer::Reader In) {
  return {readId<GroupId>(In.getGroup()),
          readId<ServerId>(In.getServer()),
          readId<FailureDomainId>(In.getDomain()),
          toString(In.getAddress()),
          In.getPort(),
          In.getSlots(),
          In.getConnectionLimit(),
          readEnumeration(In.getReplication(), ReplicationMode::Delegated)};
}

void writeReserveKey(stored::ReserveKey::Builder Out,
                     const ReserveKey &Command) {
  Out.setOwner(toText(Command.m_Owner.value()));
  Out.setKey(toText(Command.m_Key.value()));
  Out.setAttempt(toText(Command.m_Attempt.value()));
  Out.setSession(Command.m_Session.value());
  Out.setGroup(toText(Command.m_Group.value()));
  Out.setTerm(Command.m_Term.value());
}

ReserveKey readReserveKey(stored::ReserveKey::Reader In) {
  return {readId<OwnerId>(In.getOwner()),     readId<RequestKey>(In.getKey()),
          readId<AttemptId>(In.getAttempt()), ControlSessionId(In.getSession()),
          readId<GroupId>(In.getGroup()),     Term(In.getTerm())};
}

void writePolicy(stored::GroupPolicy::Builder Out, const GroupPolicy &Policy) {
  Out.setGroup(toText(Policy.m_Group.value()));
  Out.setConnectionLimit(Policy.m_ConnectionLimit);
  Out.setReplicasBeforeAck(Policy.m_SyncReplicas);
}

GroupPolicy readPolicy(stored::GroupPolicy::Reader In) {
  return {readId<GroupId>(In.getGroup()), In.getConnectionLimit(),
          In.getReplicasBeforeAck()};
}

void writeVoter(stored::Voter::Builder Out, const VoterRecord &Voter) {
  Out.setHost(toText(Voter.m_Host.value()));
  Out.setDomain(toText(Voter.m_Domain.value()));
  Out.setIdentity(toText(Voter.m_Identity));
  Out.setAddress(toText(Voter.m_Address));
  Out.setRpcPort(Voter.m_RpcPort);
}

VoterRecord readVoter(stored::Voter::Reader In) {
  return {readId<HostId>(In.getHost()), readId<FailureDomainId>(In.getDomain()),
          toString(In.getIdentity()), toString(In.getAddress()),
          In.getRpcPort()};
}

} // namespace ragwortmux
