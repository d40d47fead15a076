#ifndef RAGWORTMUX_VERSION_GROUPVIEW_H
#define RAGWORTMUX_VERSION_GROUPVIEW_H

#include "ragwortmux/Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwortmux {

/// How a server takes part in its group's in-sync set.
enum class SyncState : std::uint8_t {
  Behind,  ///< Not waited for, not electable; may serve reads that it covers.
  Joining, ///< Waited for by writers, not yet electable.
  InSync,  ///< Waited for by writers and electable.
};

/// A backend server as control describes it to a proxy.
struct ServerView final {
  ServerId m_Server;                    ///< Its id.
  FailureDomainId m_Domain;             ///< Where it is.
  std::string m_Address;                ///< IP number.
  std::uint16_t m_Port = 0;             ///< TCP port.
  SyncState m_Sync = SyncState::Behind; ///< Part in the in-sync set.
  bool m_Leaving = false;               ///< Gets no new requests.
  bool m_Announced = true; ///< False once its announcements have stopped; gets
                           ///< no new requests.
  std::uint32_t m_ConnectionShare =
      0; ///< How many connections this proxy may hold to it.
  std::uint32_t m_Slots =
      1; ///< Statements that it runs at once, over all proxies.

  friend bool operator==(const ServerView &, const ServerView &) = default;
};

/// A group's record as control sends it to a proxy. Records of one group are
/// ordered by m_Revision.
struct GroupView final {
  GroupId m_Group;     ///< The group.
  Revision m_Revision; ///< Rises with every change of this record.
  Term m_Term;         ///< Current term.
  std::optional<ServerId>
      m_Primary; ///< None while a change of primary is under way.
  std::vector<ServerView> m_Servers; ///< All known servers, ordered by id.

  friend bool operator==(const GroupView &, const GroupView &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_GROUPVIEW_H
