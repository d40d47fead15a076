#ifndef RAGWORTMUX_VERSION_SHARETABLE_H
#define RAGWORTMUX_VERSION_SHARETABLE_H

#include "ragwortmux/Version/ControlResult.h"
#include "ragwortmux/Version/ShareRecord.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace ragwortmux {

struct ConfirmShares;
struct SetShares;

/// The connection shares of all sessions at all servers.
///
/// Connections that a session may have open count until it has confirmed a
/// smaller share or has ended. Their sum over all sessions never exceeds the
/// server's budget.
class ShareTable final {
public:
  /// Bounds of the shares.
  struct Settings final {
    std::uint32_t m_ControlReserve =
        3; ///< Connections of each server that are reserved for calls of the
           ///< control leader.
  };

  explicit ShareTable(const Settings &Bounds) : m_Settings(Bounds) {}

  /// Sets shares as of the group's revision \p Next, if they fit into the
  /// budget of a server that accepts \p ConnectionLimit connections.
  ControlResult set(const SetShares &Command, std::uint32_t ConnectionLimit,
                    Revision Next);
  /// Reduces the counted connections of a session to the shares that it has
  /// confirmed.
  ControlResult confirm(const ConfirmShares &Command);
  /// Drops all shares of an ended session.
  void endSession(ControlSessionId Session);
  /// Drops all shares of a server that is not registered any more.
  void removeServer(const GroupId &Group, const ServerId &Server);
  /// True if \p Command would change nothing.
  bool isCurrent(const SetShares &Command) const;

  void importData(const std::vector<ShareRecord> &Shares);

  /// The connections that may be granted for a server that accepts \p
  /// ConnectionLimit.
  std::uint32_t budget(std::uint32_t ConnectionLimit) const;
  /// The share of \p Session; 0 if it has none.
  std::uint32_t share(const GroupId &Group, const ServerId &Server,
                      ControlSessionId Session) const;
  /// The connections that all sessions together may have open.
  std::uint32_t maxOpen(const GroupId &Group, const ServerId &Server) const;
  /// True if there is a share of \p Session, even of 0, at a server of \p
  /// Group.
  bool holds(const GroupId &Group, ControlSessionId Session) const;
  /// Calls \p Visit for each share of one group by server and session.
  void
  forEachShareOf(const GroupId &Group,
                 const std::function<void(const ShareRecord &)> &Visit) const;
  /// Calls \p Visit for each share of one server by session.
  void
  forEachShareOf(const GroupId &Group, const ServerId &Server,
                 const std::function<void(const ShareRecord &)> &Visit) const;
  /// Calls \p Visit for each share by group, server and session.
  void
  forEachShare(const std::function<void(const ShareRecord &)> &Visit) const;

private:
  struct Key final {
    GroupId m_Group;            ///< The server's group.
    ServerId m_Server;          ///< The server.
    ControlSessionId m_Session; ///< The session.
    friend auto operator<=>(const Key &, const Key &) = default;
  };

  /// Counts a share that was added.
  void addToIndex(const Key &Id);
  /// Stops counting a share that is removed.
  void removeFromIndex(const Key &Id);

  Settings m_Settings;                 ///< The bounds.
  std::map<Key, ShareRecord> m_Shares; ///< All shares.
  std::map<ControlSessionId, std::map<GroupId, std::size_t>>
      m_GroupsBySession; ///< Number of shares of each session by group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SHARETABLE_H
