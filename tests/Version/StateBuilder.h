#ifndef TESTS_VERSION_STATEBUILDER_H
#define TESTS_VERSION_STATEBUILDER_H

#include "ragwortmux/Version/ControlState.h"

#include <chrono>
#include <cstdio>
#include <string>

/// \file
/// Helpers that make commands, request keys and states for tests.

namespace ragwortmux::test {

inline const GroupId TheGroup("portal-1");
inline const OwnerId TheOwner("tenant-7");
/// The wall-clock time at which tests start.
inline const WallTime Start{std::chrono::hours(500000)};

inline CatalogueEntry entry(const std::string &Name,
                            std::uint32_t MaxConcurrent = 4) {
  CatalogueEntry Entry;
  Entry.m_Name = EntryName(Name);
  Entry.m_Group = TheGroup;
  Entry.m_Owner = TheOwner;
  Entry.m_Limits.m_MaxConcurrent = MaxConcurrent;
  return Entry;
}

inline PutEntry put(std::uint64_t Expected, const std::string &Change,
                    const CatalogueEntry &Entry) {
  return {Revision(Expected), ChangeId(Change), "op-1", Entry};
}

inline DeleteEntry erase(std::uint64_t Expected, const std::string &Change,
                         const std::string &Name) {
  return {Revision(Expected), ChangeId(Change), "op-1", EntryName(Name)};
}

inline OpenSession openSession(const std::string &Host, std::uint64_t Run = 1) {
  return {HostId(Host), Incarnation(Run), FailureDomainId("d-" + Host),
          "10.0.0.1", 7000};
}

inline RegisterServer registerServer(const std::string &Server,
                                     std::uint32_t Limit = 35) {
  return {TheGroup,
          ServerId(Server),
          FailureDomainId("d-" + Server),
          "10.0.1." + std::to_string(Server.back() - '0'),
          5432,
          5,
          Limit};
}

/// A version 7 UUID made at \p Made, with \p Tail as its random part.
inline RequestKey key(WallTime Made, unsigned Tail = 1) {
  const auto Ms =
      static_cast<unsigned long long>(Made.time_since_epoch().count());
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7abc-8def-%012x", Ms >> 16U,
                Ms & 0xffffU, Tail);
  return RequestKey(Text);
}

/// A state with sessions 1 to 3 and servers s1 to s3; s1 is primary of term 1,
/// the others are in sync.
inline ControlState makeState() {
  ControlState State;
  State.apply(AdvanceTime{Start});
  for (const char *Host : {"h1", "h2", "h3"})
    State.apply(openSession(Host));
  for (const char *Server : {"s1", "s2", "s3"})
    State.apply(registerServer(Server));
  State.apply(AppointPrimary{TheGroup, Term(1), ServerId("s1"), {}});
  for (const char *Name : {"s2", "s3"}) {
    for (const SyncState Sync : {SyncState::Joining, SyncState::InSync}) {
      const ServerRecord *Server =
          State.groups().findServer(TheGroup, ServerId(Name));
      State.apply(SetInSync{TheGroup, Term(1), ServerId(Name),
                            Server->m_SyncRevision, Sync});
    }
  }
  return State;
}

} // namespace ragwortmux::test

#endif // TESTS_VERSION_STATEBUILDER_H
