#ifndef RAGWORTMUX_CONNECTION_SESSIONHOME_H
#define RAGWORTMUX_CONNECTION_SESSIONHOME_H

#include "ragwortmux/Version/LogPoint.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <tuple>

namespace ragwortmux {

/// Settings of a SessionHome.
struct SessionHomeSettings final {
  std::uint64_t m_Incarnation = 0;    ///< Unique for each process start.
  std::size_t m_MaxSessions = 200000; ///< Above this the least recently used
                                      ///< session is removed.
};

/// Identifies the state of a SessionHome at the time of a look-up.
struct SessionTicket final {
  std::uint64_t m_Incarnation = 0; ///< Process start, see SessionHomeSettings.
  std::uint64_t m_Removals = 0; ///< Removed sessions in the session's bucket.

  friend bool operator==(const SessionTicket &,
                         const SessionTicket &) = default;
};

/// Result of looking up a session at one of its homes.
struct SessionLookup final {
  std::optional<LogPoint> m_Point; ///< None: the session is unknown here.
  SessionTicket m_Ticket;          ///< Passed to storeIfNotRemoved() later.
};

/// Stores the log points of caller sessions that this entry host is a home of,
/// in memory only. Sessions without a stored point must read at the primary.
class SessionHome final {
public:
  using HomePredicate = std::function<bool(const SessionName &)>;

  explicit SessionHome(const SessionHomeSettings &Settings);
  SessionHome(SessionHome &&) = default;
  SessionHome &operator=(SessionHome &&) = default;

  /// Applies revision \p HomesRevision of the list of homes. \p IsStillHome is
  /// true for sessions that this host is still a home of, in the active or the
  /// prepared list. All other sessions are removed, and all sessions if a
  /// revision was missed: newer points may have been stored on other hosts in
  /// the meantime, and an outdated point must not be found here.
  void setHomes(Revision HomesRevision, const HomePredicate &IsStillHome);
  /// Stores \p Point unless a newer one is stored. False if the revision
  /// \p HomesRevision of the caller's list of homes differs from this host's by
  /// more than one.
  bool store(const SessionName &Session, const GroupId &Group,
             const LogPoint &Point, Revision HomesRevision);
  /// Like store(), but only if no session of the same hash bucket was removed
  /// since the look-up that returned \p Ticket; it might have been this one.
  bool storeIfNotRemoved(const SessionName &Session, const GroupId &Group,
                         const LogPoint &Point, Revision HomesRevision,
                         const SessionTicket &Ticket);
  /// Looks up a session. The result has no point if the revision \p
  /// HomesRevision of the caller's list of homes differs from this host's by
  /// more than one.
  SessionLookup find(const SessionName &Session, const GroupId &Group,
                     Revision HomesRevision);

  /// Combines the answers of all homes of a session; an element without a value
  /// is a home that did not answer. None if any home did not answer or does not
  /// know the session, because only that home may have a later write.
  static std::optional<LogPoint>
  combine(std::span<const std::optional<SessionLookup>> Answers);

  std::size_t size() const { return m_Points.size(); }

private:
  struct Key final {
    GroupId m_Group;       ///< Database group.
    SessionName m_Session; ///< Session name.
    friend bool operator<(const Key &Left, const Key &Right) {
      return std::tie(Left.m_Group, Left.m_Session) <
             std::tie(Right.m_Group, Right.m_Session);
    }
  };

  struct StoredPoint final {
    LogPoint m_Point; ///< Log point of the session.
    std::list<const Key *>::iterator
        m_UseOrderEntry; ///< Its position in m_UseOrder.
  };

  static constexpr std::size_t BucketCount = 1024;

  bool isWithinOneRevision(Revision HomesRevision) const;
  std::uint64_t &removalCounter(const Key &SessionKey);
  void remove(std::map<Key, StoredPoint>::iterator Found);

  SessionHomeSettings m_Settings; ///< Settings.
  Revision m_HomesRevision;       ///< Revision of the list of homes in use.
  std::map<Key, StoredPoint> m_Points; ///< Stored sessions.
  std::list<const Key *> m_UseOrder;   ///< Keys, least recently used first.
  std::array<std::uint64_t, BucketCount>
      m_Removals{}; ///< Number of removed sessions, by hash of the key.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_SESSIONHOME_H
