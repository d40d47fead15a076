#include "bench/Capacity/StateFactory.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace ragwortmux {

namespace {

constexpr std::uint32_t HoldersPerServer = 16;
constexpr std::uint32_t ConnectionsPerHolder = 2;
constexpr const char *OutcomeAnswer = "INSERT 0 1";
constexpr std::uint16_t DummyPort = 5432;
constexpr std::uint32_t Slots = 5;
constexpr std::uint32_t ConnectionLimit = 35;

std::string address(std::uint32_t Number) {
  return "10." + std::to_string(Number >> 16U) + "." +
         std::to_string((Number >> 8U) & 255U) + "." +
         std::to_string(Number & 255U);
}

void addGroup(ControlState &State, std::uint32_t Group,
              std::uint32_t Sessions) {
  const GroupId Id = makeGroupId(Group);
  for (std::uint32_t Server = 0; Server < ServersPerGroup; ++Server) {
    State.apply(makeRegisterServer(Group, Server));
  }
  State.apply(AppointPrimary{Id, Term(1), makeServerId(0), {}});
  for (std::uint32_t Server = 1; Server < ServersPerGroup; ++Server) {
    for (const SyncState Sync : {SyncState::Joining, SyncState::InSync}) {
      const ServerRecord *Record =
          State.groups().findServer(Id, makeServerId(Server));
      State.apply(SetInSync{Id, Term(1), makeServerId(Server),
                            Record->m_SyncRevision, Sync});
    }
  }
  std::vector<ShareGrant> Grants;
  for (std::uint32_t Holder = 0; Holder < std::min(HoldersPerServer, Sessions);
       ++Holder) {
    const std::uint64_t Session =
        (std::uint64_t(Group) * HoldersPerServer + Holder) % Sessions + 1;
    Grants.push_back({ControlSessionId(Session), ConnectionsPerHolder});
  }
  for (std::uint32_t Server = 0; Server < ServersPerGroup; ++Server) {
    State.apply(SetShares{Id, makeServerId(Server), Grants});
  }
}

void addKey(ControlState &State, std::uint32_t Key) {
  // Stays within the request ledger's limit of live keys per owner.
  constexpr std::uint32_t KeysPerOwner = 50000;
  const OwnerId Owner("owner-" + std::to_string(Key / KeysPerOwner));
  const AttemptId Attempt("host-1-1-" + std::to_string(Key));
  State.apply(ReserveKey{Owner, makeKey(Key), Attempt, ControlSessionId(1),
                         makeGroupId(0), Term(1)});
  State.apply(RecordOutcome{Owner, makeKey(Key), Attempt, ResultCode::Ok,
                            OutcomeAnswer});
}

} // namespace

void fillState(ControlState &State, const StateSizes &Sizes) {
  State.apply(AdvanceTime{StateTime});
  for (std::uint32_t Host = 0; Host < Sizes.m_Sessions; ++Host) {
    State.apply(makeOpenSession(Host));
  }
  for (std::uint32_t Group = 0; Group < Sizes.m_Groups; ++Group) {
    addGroup(State, Group, Sizes.m_Sessions);
  }
  for (std::uint32_t Entry = 0; Entry < Sizes.m_Entries; ++Entry) {
    const std::string Change = "change-" + std::to_string(Entry);
    State.apply(PutEntry{Revision(0), ChangeId(Change), "kim",
                         makeEntry(Entry, Entry)});
  }
  for (std::uint32_t Key = 0; Key < Sizes.m_Keys; ++Key) {
    addKey(State, Key);
  }
}

GroupId makeGroupId(std::uint32_t Group) {
  return GroupId("depot-ledger-" + std::to_string(Group));
}

ServerId makeServerId(std::uint32_t Server) {
  return ServerId("db-" + std::to_string(Server));
}

CatalogueEntry makeEntry(std::uint32_t Entry, std::uint32_t Group) {
  CatalogueEntry Made;
  Made.m_Name = EntryName("bookings-" + std::to_string(Entry));
  Made.m_Group = makeGroupId(Group);
  Made.m_Owner = OwnerId("owner-" + std::to_string(Entry));
  Made.m_Class = TrafficClass::Booking;
  return Made;
}

RequestKey makeKey(std::uint32_t Key) {
  const auto Ms =
      static_cast<unsigned long long>(StateTime.time_since_epoch().count());
  std::array<char, 64> Text;
  std::snprintf(Text.data(), Text.size(), "%08llx-%04llx-7abc-8def-%012x",
                Ms >> 16U, Ms & 0xffffU, Key);
  return RequestKey(Text.data());
}

OpenSession makeOpenSession(std::uint32_t Host) {
  return {HostId("host-" + std::to_string(Host)), Incarnation(Host + 1),
          FailureDomainId("domain-" + std::to_string(Host % 10)), address(Host),
          DummyPort};
}

RegisterServer makeRegisterServer(std::uint32_t Group, std::uint32_t Server) {
  return {makeGroupId(Group),
          makeServerId(Server),
          FailureDomainId("domain-" + std::to_string(Server)),
          address(Group * ServersPerGroup + Server),
          DummyPort,
          Slots,
          ConnectionLimit};
}

} // namespace ragwortmux
