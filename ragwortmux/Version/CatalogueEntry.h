#ifndef RAGWORTMUX_VERSION_CATALOGUEENTRY_H
#define RAGWORTMUX_VERSION_CATALOGUEENTRY_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <cstdint>

namespace ragwortmux {

/// What kind of requests an entry takes; decides where they may run and what
/// may be retried.
enum class TrafficClass : std::uint8_t {
  Booking, ///< Non-repeatable write: on the primary, at most once per request
           ///< key.
  Write,   ///< Repeatable write: on the primary.
  SessionRead, ///< Read that must cover the session's last write.
  AgedRead,    ///< Read that may be as old as the entry or the caller states.
  PrimarySession,   ///< Stateful session whose reads and writes all run at the
                    ///< primary.
  AgedSession,      ///< Stateful session whose reads may be as old as stated.
  OwnWritesSession, ///< Like AgedSession, but reads see the session's writes.
};

/// True for the classes whose callers hold a session with values, prepared
/// statements and transactions of several statements.
inline bool isStateful(TrafficClass Class) {
  return Class >= TrafficClass::PrimarySession;
}

/// True if reads of \p Class may be of a stated age.
inline bool allowsAge(TrafficClass Class) {
  return Class == TrafficClass::AgedRead ||
         Class == TrafficClass::AgedSession ||
         Class == TrafficClass::OwnWritesSession;
}

/// The limits of a catalogue entry.
struct EntryLimits final {
  std::uint32_t m_MaxConcurrent =
      16; ///< Requests running at once per proxy; 1 to 1000.
  std::uint32_t m_MaxQueued = 64; ///< Requests waiting per proxy; 0 to 10000.
  Duration m_RequestDeadline =
      std::chrono::seconds(5); ///< From arrival to answer; 10 ms to 10 min.
  std::uint32_t m_MaxAnswerBytes = 1U
                                   << 20U; ///< Whole answer; 1 KiB to 64 MiB.
  Duration m_MaxAge{0}; ///< Classes that allow an age only: how old the data
                        ///< may be; up to 1 day.
  Duration m_LatencyTarget{0};   ///< Stateful classes: what the answer should
                                 ///< take at most; 0: none.
  Duration m_TransactionIdle{0}; ///< Stateful classes: how long a transaction
                                 ///< may wait for its next statement; 0: the
                                 ///< process's default.
  std::uint32_t m_Priority = 0;  ///< Stateful classes: 0 goes first.

  friend bool operator==(const EntryLimits &, const EntryLimits &) = default;
};

/// One catalogue entry: what operators create and callers name as their
/// database.
struct CatalogueEntry final {
  EntryName m_Name; ///< 1 to 63 characters of [a-z0-9_-].
  GroupId m_Group;  ///< The database service that answers.
  OwnerId
      m_Owner; ///< Whose requests these are; queues are fair between owners.
  TrafficClass m_Class = TrafficClass::Booking; ///< The class of traffic.
  EntryLimits m_Limits;                         ///< The limits that apply.

  friend bool operator==(const CatalogueEntry &,
                         const CatalogueEntry &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CATALOGUEENTRY_H
