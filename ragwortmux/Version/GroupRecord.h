#ifndef RAGWORTMUX_VERSION_GROUPRECORD_H
#define RAGWORTMUX_VERSION_GROUPRECORD_H

#include "ragwortmux/Version/GroupView.h"
#include "ragwortmux/Version/ReplicationMode.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace ragwortmux {

/// Number of servers that must have a write before it is acknowledged, in
/// groups with at least that many servers.
inline constexpr std::size_t MinInSyncServers = 2;

/// GroupRecord::m_Ordered holds no more servers than this, the last one among
/// them: it only tells whether a server is the only one.
inline constexpr std::size_t MaxOrderedServers = 2;

/// The replicated record of a backend server.
struct ServerRecord final {
  ServerId m_Server;         ///< Its id.
  FailureDomainId m_Domain;  ///< Its failure domain.
  std::string m_Address;     ///< Its IP address.
  std::uint16_t m_Port = 0;  ///< Its TCP port.
  std::uint32_t m_Slots = 1; ///< Statements that it can run at once.
  std::uint32_t m_ConnectionLimit =
      0; ///< Total number of connections that it accepts.
  SyncState m_Sync = SyncState::Behind; ///< Its state in the in-sync set.
  Revision m_SyncRevision; ///< The group's revision that set m_Sync.
  bool m_Leaving = false;  ///< It is leaving and gets no new requests.
  bool m_Announced = true; ///< False if its announcements have stopped.
  bool m_HasEnded = false; ///< It has deregistered, after it has handed its log
                           ///< on; one that is only silent has not.

  friend bool operator==(const ServerRecord &, const ServerRecord &) = default;
};

/// The replicated record of a database group.
struct GroupRecord final {
  GroupId m_Group;     ///< The group.
  Revision m_Revision; ///< Increases with each change of this record or of its
                       ///< shares, except for m_Ordered, which is in no view.
  Term m_Term; ///< Current term; 0 until the first primary is appointed.
  std::optional<ServerId> m_Primary;  ///< None during a change of primary.
  std::optional<ServerId> m_Previous; ///< The primary of the previous term.
  Revision m_TermRevision; ///< The revision that ended the previous term.
  ControlSessionId
      m_LastSession; ///< Last session id assigned before the previous term
                     ///< ended; later sessions never acted in that term.
  ReplicationMode m_Replication =
      ReplicationMode::InSyncSet; ///< How the group replicates.
  Term m_ServerTerm; ///< Delegated groups: the servers' own term that the last
                     ///< appointed primary leads; 0: unknown.
  std::set<ServerId> m_Ordered; ///< Delegated groups: servers that were ordered
                                ///< to lead since that primary was appointed;
                                ///< see MaxOrderedServers.
  std::map<ServerId, ServerRecord> m_Servers; ///< All registered servers.

  friend bool operator==(const GroupRecord &, const GroupRecord &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_GROUPRECORD_H
