#include "ragwortmux/Version/ControlState.h"

#include <algorithm>
#include <optional>

namespace ragwortmux {

namespace {

constexpr std::size_t MaxVoters = 32;
constexpr std::size_t MaxHomes = 1024;

ControlResult refused(ResultCode Code, const char *Reason) {
  return ControlResult::refused(Code, Reason);
}

bool isAscending(const std::vector<HostId> &Hosts) {
  return std::adjacent_find(Hosts.begin(), Hosts.end(),
                            std::greater_equal<>()) == Hosts.end();
}

} // namespace

ControlState::ControlState(const Settings &Bounds)
    : m_Catalogue(Bounds.m_Catalogue), m_Shares(Bounds.m_Shares),
      m_Ledger(Bounds.m_Ledger) {}

ControlResult ControlState::apply(const ControlCommand &Command) {
  return std::visit([this](const auto &Typed) { return applyOne(Typed); },
                    Command);
}

ControlResult ControlState::applyOne(const PutEntry &Command) {
  return m_Catalogue.put(Command, m_Time);
}

ControlResult ControlState::applyOne(const DeleteEntry &Command) {
  return m_Catalogue.erase(Command, m_Time);
}

ControlResult ControlState::applyOne(const PutWorkspace &Command) {
  return m_Catalogue.put(Command);
}

ControlResult ControlState::applyOne(const DeleteWorkspace &Command) {
  return m_Catalogue.erase(Command);
}

ControlResult ControlState::applyOne(const OpenSession &Command) {
  ControlResult Result = m_Sessions.open(Command);
  if (Result.m_EndedSession)
    m_Shares.endSession(*Result.m_EndedSession);
  // Processes that have confirmed the current revision lack the new address.
  if (updateHomeAddresses())
    m_Homes.m_Revision = Revision(m_Homes.m_Revision.value() + 1);
  return Result;
}

ControlResult ControlState::applyOne(const EndSession &Command) {
  m_Shares.endSession(Command.m_Session);
  return m_Sessions.end(Command.m_Session);
}

ControlResult ControlState::applyOne(const RegisterServer &Command) {
  std::optional<ServerId> Evicted;
  ControlResult Result = m_Groups.registerServer(Command, Evicted);
  if (Evicted)
    m_Shares.removeServer(Command.m_Group, *Evicted);
  return Result;
}

ControlResult ControlState::applyOne(const SetServerState &Command) {
  return m_Groups.setServerState(Command);
}

ControlResult ControlState::applyOne(const EndTerm &Command) {
  return m_Groups.endTerm(Command, m_Sessions.last());
}

ControlResult ControlState::applyOne(const OrderPromotion &Command) {
  return m_Groups.orderPromotion(Command);
}

ControlResult ControlState::applyOne(const AppointPrimary &Command) {
  return m_Groups.appointPrimary(Command);
}

ControlResult ControlState::applyOne(const SetInSync &Command) {
  return m_Groups.setInSync(Command);
}

ControlResult ControlState::applyOne(const SetShares &Command) {
  const ServerRecord *Server =
      m_Groups.findServer(Command.m_Group, Command.m_Server);
  if (Server == nullptr)
    return refused(ResultCode::BadArgument, "the server is unknown");
  for (const ShareGrant &Grant : Command.m_Grants) {
    if (m_Sessions.find(Grant.m_Session) == nullptr)
      return refused(ResultCode::BadArgument, "a session is not open");
  }
  const Revision Now = m_Groups.find(Command.m_Group)->m_Revision;
  if (m_Shares.isCurrent(Command))
    return ControlResult::accepted(Now);
  ControlResult Result = m_Shares.set(Command, Server->m_ConnectionLimit,
                                      Revision(Now.value() + 1));
  if (Result.ok())
    m_Groups.touch(Command.m_Group);
  return Result;
}

ControlResult ControlState::applyOne(const ConfirmShares &Command) {
  const GroupRecord *Group = m_Groups.find(Command.m_Group);
  if (Group == nullptr || Command.m_Revision > Group->m_Revision)
    return refused(ResultCode::BadArgument,
                   "the group has no such revision yet");
  return m_Shares.confirm(Command);
}

ControlResult ControlState::applyOne(const ReserveKey &Command) {
  ControlResult Permission;
  const GroupRecord *Group = m_Groups.find(Command.m_Group);
  if (m_Sessions.find(Command.m_Session) == nullptr)
    Permission = refused(ResultCode::NotRunNoLease, "the session is not open");
  else if (Group == nullptr || !Group->m_Primary)
    Permission =
        refused(ResultCode::NotRunNoPrimary, "the group has no primary");
  else if (Group->m_Term != Command.m_Term)
    Permission =
        refused(ResultCode::NotRunTermRefused, "the term is not the group's");
  return m_Ledger.reserve(Command, m_Time, Permission);
}

ControlResult ControlState::applyOne(const RecordOutcome &Command) {
  return m_Ledger.record(Command);
}

ControlResult ControlState::applyOne(const ResolveAttempt &Command) {
  const LedgerRecord *Record = m_Ledger.find(Command.m_Owner, Command.m_Key);
  if (Record == nullptr)
    return refused(ResultCode::BadArgument, "the key is not in the ledger");
  if (m_Sessions.find(Command.m_Resolver) == nullptr)
    return refused(ResultCode::NotRunNoLease, "the session is not open");
  // Only the current primary's history shows whether the attempt committed.
  const GroupRecord *Group = m_Groups.find(Record->m_Group);
  if (Group == nullptr || !Group->m_Primary || Group->m_Term != Command.m_Term)
    return refused(ResultCode::NotRunTermRefused,
                   "the term is not the group's");
  const bool HasHolderEnded = m_Sessions.find(Record->m_Session) == nullptr;
  return m_Ledger.resolve(Command, HasHolderEnded);
}

ControlResult ControlState::applyOne(const AdvanceTime &Command) {
  if (Command.m_Now < m_Time)
    return refused(ResultCode::BadArgument, "the log's time is later");
  m_Time = Command.m_Now;
  m_Ledger.prune(m_Time);
  return {};
}

ControlResult ControlState::applyOne(const SetVoters &Command) {
  if (Command.m_Voters.size() > MaxVoters)
    return refused(ResultCode::BadArgument, "there are too many voters");
  m_Voters = Command.m_Voters;
  return {};
}

ControlResult ControlState::applyOne(const SetSessionHomes &Command) {
  if (Command.m_Expected != m_Homes.m_Revision)
    return refused(ResultCode::BadArgument, "the session homes have changed");
  if (Command.m_Hosts.empty() || Command.m_Hosts.size() > MaxHomes ||
      !isAscending(Command.m_Hosts))
    return refused(ResultCode::BadArgument, "the hosts are not a valid list");
  if (Command.m_Active && Command.m_Hosts != m_Homes.m_Preparing)
    return refused(ResultCode::BadArgument, "the hosts have not been prepared");
  if (Command.m_Active) {
    m_Homes.m_Active = Command.m_Hosts;
    m_Homes.m_Preparing.clear();
  } else {
    m_Homes.m_Preparing = Command.m_Hosts;
  }
  updateHomeAddresses();
  m_Homes.m_Revision = Revision(m_Homes.m_Revision.value() + 1);
  return ControlResult::accepted(m_Homes.m_Revision);
}

ControlResult ControlState::applyOne(const ReplaceCatalogue &Command) {
  return m_Catalogue.replace(Command);
}

ControlStateData ControlState::exportData() const {
  ControlStateData Data;
  Data.m_Time = m_Time;
  Data.m_Catalogue = m_Catalogue.exportData();
  Data.m_LastSession = m_Sessions.last();
  m_Sessions.forEachSession([&](const SessionRecord &Session) {
    Data.m_Sessions.push_back(Session);
  });
  m_Groups.forEachGroup(
      [&](const GroupRecord &Group) { Data.m_Groups.push_back(Group); });
  m_Shares.forEachShare(
      [&](const ShareRecord &Share) { Data.m_Shares.push_back(Share); });
  m_Ledger.forEachRecord(
      [&](const LedgerRecord &Record) { Data.m_Ledger.push_back(Record); });
  Data.m_Voters = m_Voters;
  Data.m_Homes = m_Homes;
  return Data;
}

void ControlState::importData(const ControlStateData &Data) {
  m_Time = Data.m_Time;
  m_Catalogue.importData(Data.m_Catalogue);
  m_Sessions.importData(Data.m_LastSession, Data.m_Sessions);
  m_Groups.importData(Data.m_Groups);
  m_Shares.importData(Data.m_Shares);
  m_Ledger.importData(Data.m_Ledger);
  m_Voters = Data.m_Voters;
  m_Homes = Data.m_Homes;
  // Snapshots of earlier versions contain no addresses.
  updateHomeAddresses();
}

bool ControlState::updateHomeAddresses() {
  const auto IsHome = [this](const HostId &Host) {
    return std::binary_search(m_Homes.m_Active.begin(), m_Homes.m_Active.end(),
                              Host) ||
           std::binary_search(m_Homes.m_Preparing.begin(),
                              m_Homes.m_Preparing.end(), Host);
  };
  std::erase_if(m_Homes.m_Addresses,
                [&](const auto &Entry) { return !IsHome(Entry.first); });
  bool IsChanged = false;
  m_Sessions.forEachSession([&](const SessionRecord &Session) {
    if (!IsHome(Session.m_Host))
      return;
    const SessionHomeAddress Current{Session.m_Domain, Session.m_Address,
                                     Session.m_RpcPort};
    const auto [Known, IsNew] =
        m_Homes.m_Addresses.try_emplace(Session.m_Host, Current);
    IsChanged = IsChanged || IsNew || Known->second != Current;
    Known->second = Current;
  });
  return IsChanged;
}

} // namespace ragwortmux
