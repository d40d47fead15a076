#include "bench/Capacity/GroupCoreDriver.h"

#include "bench/Capacity/StateFactory.h"
#include "bench/Capacity/TimedCall.h"

#include <utility>

namespace ragwortmux {

namespace {

constexpr Duration LongLease = std::chrono::hours(24);
constexpr Duration TimeStep = std::chrono::microseconds(100);
constexpr std::uint32_t Slots = 64;
constexpr std::uint32_t RequestLimit = 1000;

GroupSettings settings() {
  GroupSettings Settings;
  Settings.m_Domain = FailureDomainId("domain-1");
  Settings.m_AttemptPrefix = "host-1-1-";
  return Settings;
}

} // namespace

GroupCoreDriver::GroupCoreDriver(std::uint32_t Connections)
    : m_Core(makeGroupId(0), settings()) {
  GroupView View;
  View.m_Group = makeGroupId(0);
  View.m_Revision = Revision(1);
  View.m_Term = Term(1);
  View.m_Primary = makeServerId(0);
  for (std::uint32_t Server = 0; Server < ServersPerGroup; ++Server) {
    ServerView One;
    One.m_Server = makeServerId(Server);
    One.m_Domain = FailureDomainId("domain-" + std::to_string(Server));
    One.m_Sync = SyncState::InSync;
    One.m_ConnectionShare = Connections;
    One.m_Slots = Slots;
    View.m_Servers.push_back(One);
  }
  m_Core.viewChanged(m_Now, View, m_Actions);
  m_Core.leaseExtended(m_Now, m_Now + LongLease, m_Actions);
  processActions();
  sampleAll();
}

double GroupCoreDriver::measureMeanTime(TrafficClass Class, bool Keyed,
                                        std::uint32_t Count) {
  m_IsWrite = Class == TrafficClass::Booking || Class == TrafficClass::Write;
  const double Micros = measureMicroseconds([&] {
    for (std::uint32_t Number = 0; Number < Count; ++Number) {
      m_Now += TimeStep;
      runRequest(makeRequest(Class, Keyed));
    }
  });
  return Micros / Count;
}

void GroupCoreDriver::submitWaiting(std::uint32_t Count) {
  m_AnswersStatements = false;
  for (std::uint32_t Number = 0; Number < Count; ++Number) {
    runRequest(makeRequest(TrafficClass::AgedRead, false));
  }
}

GroupRequest GroupCoreDriver::makeRequest(TrafficClass Class, bool Keyed) {
  // One shared entry object per class, as in the catalogue cache.
  static std::map<TrafficClass, std::shared_ptr<CatalogueEntry>> Entries;
  auto &Entry = Entries[Class];
  if (!Entry) {
    Entry = std::make_shared<CatalogueEntry>(makeEntry(0, 0));
    Entry->m_Class = Class;
    Entry->m_Limits.m_MaxConcurrent = RequestLimit;
    Entry->m_Limits.m_MaxQueued = RequestLimit;
    if (Class == TrafficClass::AgedRead) {
      Entry->m_Limits.m_MaxAge = LongLease;
    }
  }
  GroupRequest Request;
  Request.m_Id = RequestId(++m_LastId);
  Request.m_Caller = CallerConnectionId(m_LastId);
  Request.m_Entry = Entry;
  Request.m_Sql = "SELECT v FROM hires WHERE k = 'hire-123456'";
  Request.m_Arrived = m_Now;
  if (Class != TrafficClass::AgedRead) {
    Request.m_Session = SessionName("clerk");
  }
  if (Keyed) {
    Request.m_Key = makeKey(static_cast<std::uint32_t>(m_LastId));
  }
  return Request;
}

void GroupCoreDriver::runRequest(GroupRequest Request) {
  m_Core.submit(m_Now, std::move(Request), m_Actions);
  processActions();
  if (m_IsWrite) {
    sampleAll();
  }
}

void GroupCoreDriver::processActions() {
  while (!m_Actions.empty()) {
    const GroupActions Batch = std::exchange(m_Actions, {});
    for (const GroupAction &Action : Batch) {
      std::visit([this](const auto &One) { handle(One); }, Action);
    }
  }
}

void GroupCoreDriver::handle(const OpenConnection &Action) {
  m_Core.connectionOpened(m_Now, Action.m_Connection, m_Actions);
}

void GroupCoreDriver::handle(const CloseConnection &Action) {
  m_Core.connectionClosed(m_Now, Action.m_Connection, m_Actions);
}

void GroupCoreDriver::handle(const SendStatement &Action) {
  if (!m_AnswersStatements) {
    return;
  }
  static const auto Body = std::make_shared<const std::string>(64, 'x');
  if (m_IsWrite) {
    m_Position = LogPosition(m_Position.value() + 1);
  }
  BackendAnswer Given;
  Given.m_Point = LogPoint{Term(1), m_Position};
  Given.m_Bytes = Body->size();
  Given.m_Body = Body;
  m_Core.statementAnswered(m_Now, Action.m_Connection, std::move(Given),
                           m_Actions);
}

void GroupCoreDriver::handle(const Answer &Action) {
  m_Answers += Action.m_Code == ResultCode::Ok ? 1 : 0;
}

void GroupCoreDriver::handle(const ReserveRequestKey &Action) {
  ReserveResult Result;
  Result.m_Status = ReserveStatus::Reserved;
  m_Core.keyReserved(m_Now, Action.m_Request, Result, m_Actions);
}

void GroupCoreDriver::handle(const RecordKeyOutcome &Action) {
  m_Core.outcomeRecorded(m_Now, Action.m_Request, true, m_Actions);
}

void GroupCoreDriver::handle(const FindSessionPoint &Action) {
  m_Core.sessionPointFound(m_Now, Action.m_Request, std::nullopt, true,
                           m_Actions);
}

void GroupCoreDriver::handle(const StoreSessionPoint &Action) {
  if (Action.m_Request) {
    m_Core.sessionPointStored(m_Now, *Action.m_Request, true, m_Actions);
  }
}

void GroupCoreDriver::sampleAll() {
  for (std::uint32_t Server = 0; Server < ServersPerGroup; ++Server) {
    m_Core.positionSampled(m_Now, makeServerId(Server),
                           LogPoint{Term(1), m_Position}, Server == 0, m_Now,
                           m_Actions);
    processActions();
  }
}

} // namespace ragwortmux
