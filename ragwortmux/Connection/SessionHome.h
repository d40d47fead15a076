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

/// Bounds of a SessionHome.
struct SessionHomeSettings final {
  std::uint64_t m_Incarnation = 0;    ///< Unique for each run of the process.
  std::size_t m_MaxSessions = 200000; ///< Beyond this the one unused for the
                                      ///< longest is forgotten.
};

/// The state of a SessionHome in which a session was not known.
struct SessionTicket final {
  std::uint64_t m_Incarnation = 0; ///< Run of the process.
  std::uint64_t m_Removals = 0;    ///< Sessions forgotten until then.

  friend bool operator==(const SessionTicket &,
                         const SessionTicket &) = default;
};

/// What a home knows of a session.
struct SessionLookup final {
  std::optional<LogPoint> m_Point; ///< None: the session is not known here.
  SessionTicket m_Ticket;          ///< For establish().
};

/// Points of caller sessions that this entry host is a home of, in memory only.
/// A session that is not known must read at the primary.
class SessionHome final {
public:
  using IsHome = std::function<bool(const SessionName &)>;

  explicit SessionHome(const SessionHomeSettings &Settings);
  SessionHome(SessionHome &&) = default;
  SessionHome &operator=(SessionHome &&) = default;

  /// The list of homes changed to \p Homes; \p Keeps tells which sessions this
  /// host is still a home of, in the active or the prepared list. Sessions that
  /// were stored elsewhere in between must not be found here with an old point,
  /// so the others are forgotten, and all of them if a revision was missed.
  void setHomes(Revision Homes, const IsHome &Keeps);
  /// Keeps the newer one of \p Point and what is known. False if the caller's
  /// list of homes is more than one step from this host's.
  bool store(const SessionName &Session, const GroupId &Group,
             const LogPoint &Point, Revision Homes);
  /// Like store(), but only if no session that might be this one was forgotten
  /// since the look-up that gave \p Ticket.
  bool establish(const SessionName &Session, const GroupId &Group,
                 const LogPoint &Point, Revision Homes,
                 const SessionTicket &Ticket);
  /// What is known; nothing to a caller whose list of homes is more than one
  /// step from this host's.
  SessionLookup find(const SessionName &Session, const GroupId &Group,
                     Revision Homes);

  /// The point that the answers of all homes of a session stand for; an element
  /// without a value did not answer. None if any home did not answer or does
  /// not know the session: a later write may be kept at just that one.
  static std::optional<LogPoint>
  combine(std::span<const std::optional<SessionLookup>> Answers);

  std::size_t size() const { return m_Points.size(); }

private:
  struct Key final {
    GroupId m_Group;       ///< The group.
    SessionName m_Session; ///< The session.
    friend bool operator<(const Key &Left, const Key &Right) {
      return std::tie(Left.m_Group, Left.m_Session) <
             std::tie(Right.m_Group, Right.m_Session);
    }
  };

  struct Kept final {
    LogPoint m_Point;                       ///< The session's point.
    std::list<const Key *>::iterator m_Use; ///< Its place in m_Uses.
  };

  static constexpr std::size_t BucketCount = 1024;

  bool isNear(Revision Homes) const;
  std::uint64_t &removalsOf(const Key &Where);
  void remove(std::map<Key, Kept>::iterator Found);

  SessionHomeSettings m_Settings; ///< Bounds.
  Revision m_Homes;               ///< Revision of the list of homes.
  std::map<Key, Kept> m_Points;   ///< All sessions.
  std::list<const Key *> m_Uses;  ///< Keys, the one used last at the end.
  std::array<std::uint64_t, BucketCount>
      m_Removals{}; ///< Sessions forgotten, by hash of the key.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_SESSIONHOME_H
