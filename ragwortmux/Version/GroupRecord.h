#ifndef RAGWORTMUX_VERSION_GROUPRECORD_H
#define RAGWORTMUX_VERSION_GROUPRECORD_H

#include "ragwortmux/Version/GroupView.h"
#include "ragwortmux/Version/ReplicationMode.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace ragwortmux {

/// Servers that must hold each acknowledged write of a group with as many.
inline constexpr std::size_t MinInSyncServers = 2;

/// A backend server as the log knows it.
struct ServerRecord final {
  ServerId m_Server;                    ///< Its id.
  FailureDomainId m_Domain;             ///< Where it is.
  std::string m_Address;                ///< IP number.
  std::uint16_t m_Port = 0;             ///< TCP port.
  std::uint32_t m_Slots = 1;            ///< Statements that it runs at once.
  std::uint32_t m_ConnectionLimit = 0;  ///< Connections that it accepts in all.
  SyncState m_Sync = SyncState::Behind; ///< Part in the in-sync set.
  Revision m_SyncRevision; ///< The group's revision that set m_Sync.
  bool m_Leaving = false;  ///< Gets no new requests.
  bool m_Announced = true; ///< False once its announcements have stopped.

  friend bool operator==(const ServerRecord &, const ServerRecord &) = default;
};

/// A database group as the log knows it.
struct GroupRecord final {
  GroupId m_Group; ///< The group.
  Revision
      m_Revision; ///< Rises with every change of this record or its shares.
  Term m_Term;    ///< Current term; 0 until the first primary is appointed.
  std::optional<ServerId> m_Primary;  ///< None while the primary is changing.
  std::optional<ServerId> m_Previous; ///< The primary of the previous term.
  Revision m_TermRevision; ///< The revision that ended the previous term.
  ControlSessionId m_LastSession; ///< Sessions up to this one were open when
                                  ///< the previous term ended.
  ReplicationMode m_Replication =
      ReplicationMode::InSyncSet;             ///< Who replicates.
  std::map<ServerId, ServerRecord> m_Servers; ///< All known servers.

  friend bool operator==(const GroupRecord &, const GroupRecord &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_GROUPRECORD_H
