#ifndef RAGWORTMUX_VERSION_GROUPVIEW_H
#define RAGWORTMUX_VERSION_GROUPVIEW_H

#include "ragwortmux/Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwortmux {

/// The state of a server with respect to its group's in-sync set.
enum class SyncState : std::uint8_t {
  Behind,  ///< Writers do not wait for it; not electable; may serve reads whose
           ///< position it has reached.
  Joining, ///< Writers wait for it; not electable yet.
  InSync,  ///< Writers wait for it; electable.
};

/// The part of a backend server's record that is sent to a proxy.
struct ServerView final {
  ServerId m_Server;                    ///< Its id.
  FailureDomainId m_Domain;             ///< Its failure domain.
  std::string m_Address;                ///< Its IP address.
  std::uint16_t m_Port = 0;             ///< Its TCP port.
  SyncState m_Sync = SyncState::Behind; ///< Its state in the in-sync set.
  bool m_Leaving = false;  ///< It is leaving and gets no new requests.
  bool m_Announced = true; ///< False if its announcements have stopped; it gets
                           ///< no new requests then.
  std::uint32_t m_ConnectionShare =
      0; ///< Connections that this proxy may open to it.
  std::uint32_t m_Slots =
      1; ///< Statements that it can run at once, from all proxies together.

  friend bool operator==(const ServerView &, const ServerView &) = default;
};

/// The part of a group's record that is sent to a proxy. Views of one group are
/// ordered by m_Revision.
struct GroupView final {
  GroupId m_Group;     ///< The group.
  Revision m_Revision; ///< Increases with each change of this record.
  Term m_Term;         ///< Current term.
  std::optional<ServerId> m_Primary; ///< None during a change of primary.
  std::vector<ServerView> m_Servers; ///< All registered servers, ordered by id.

  friend bool operator==(const GroupView &, const GroupView &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_GROUPVIEW_H
