#ifndef RAGWORTMUX_VERSION_CATALOGUEENTRY_H
#define RAGWORTMUX_VERSION_CATALOGUEENTRY_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <cstdint>

namespace ragwortmux {

/// The kind of requests of a catalogue entry; decides where they may run and
/// what may be retried.
enum class TrafficClass : std::uint8_t {
  Booking, ///< Non-repeatable write: on the primary, at most once per request
           ///< key.
  Write,   ///< Repeatable write: on the primary.
  SessionRead, ///< Read that must include the session's last write.
  AgedRead, ///< Read from data whose age is limited by the entry or the caller.
  PrimarySession, ///< Stateful session whose reads and writes all run on the
                  ///< primary.
  AgedSession,    ///< Stateful session whose reads may use data up to a stated
                  ///< age.
  OwnWritesSession, ///< Like AgedSession, but reads include the session's
                    ///< writes.
};

/// True for the classes whose callers have a session with settings, prepared
/// statements and multi-statement transactions.
inline bool isStateful(TrafficClass Class) {
  return Class >= TrafficClass::PrimarySession;
}

/// True if reads of \p Class may use data up to a stated age.
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
  Duration m_RequestDeadline = std::chrono::seconds(
      5); ///< Time from arrival to answer; 10 ms to 10 min.
  std::uint32_t m_MaxAnswerBytes =
      1U << 20U;        ///< Size of the whole answer; 1 KiB to 64 MiB.
  Duration m_MaxAge{0}; ///< Only for classes that allow an age: maximum age of
                        ///< the data; up to 1 day.
  Duration m_LatencyTarget{
      0}; ///< Stateful classes: target for the time to an answer; 0: none.
  Duration m_TransactionIdle{0}; ///< Stateful classes: how long a transaction
                                 ///< may wait for its next statement; 0: the
                                 ///< process's default.
  std::uint32_t m_Priority =
      0; ///< Stateful classes: priority; 0 is the highest.

  friend bool operator==(const EntryLimits &, const EntryLimits &) = default;
};

/// A catalogue entry. Operators create it; callers give its name as the
/// database to connect to.
struct CatalogueEntry final {
  EntryName m_Name; ///< 1 to 63 characters of [a-z0-9_-].
  GroupId m_Group;  ///< The group whose servers answer the requests.
  OwnerId m_Owner;  ///< Owner of the requests; queues are fair between owners.
  TrafficClass m_Class = TrafficClass::Booking; ///< The traffic class.
  EntryLimits m_Limits;                         ///< The limits that apply.
  bool m_RequiresKey = false; ///< Callers must present a key of a workspace;
                              ///< otherwise the entry is open to all.

  friend bool operator==(const CatalogueEntry &,
                         const CatalogueEntry &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CATALOGUEENTRY_H
