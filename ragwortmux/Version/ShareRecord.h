#ifndef RAGWORTMUX_VERSION_SHARERECORD_H
#define RAGWORTMUX_VERSION_SHARERECORD_H

#include "ragwortmux/Core/Ids.h"

#include <cstdint>

namespace ragwortmux {

/// The connections to one server that are granted to a session.
struct ShareGrant final {
  ControlSessionId m_Session;      ///< The session.
  std::uint32_t m_Connections = 0; ///< Its share, in connections.

  friend bool operator==(const ShareGrant &, const ShareGrant &) = default;
};

/// A session's share of the connections to one server.
struct ShareRecord final {
  GroupId m_Group;             ///< The server's group.
  ServerId m_Server;           ///< The server.
  ControlSessionId m_Session;  ///< The session.
  std::uint32_t m_Share = 0;   ///< Connections that the session may open.
  std::uint32_t m_MaxOpen = 0; ///< Connections that it may still have open;
                               ///< counted against the budget.
  Revision m_ShareRevision;    ///< The group's revision that set m_Share.

  friend bool operator==(const ShareRecord &, const ShareRecord &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SHARERECORD_H
