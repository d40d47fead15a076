#ifndef RAGWORTMUX_VERSION_CONTROLEVENTS_H
#define RAGWORTMUX_VERSION_CONTROLEVENTS_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Version/LogPoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// The events that the control leader handles: messages from proxies and
/// backend servers, and results of backend calls.

namespace ragwortmux {

/// A proxy's demand for connections to one server.
struct ShareDemand final {
  GroupId m_Group;                 ///< The server's group.
  ServerId m_Server;               ///< The server.
  std::uint32_t m_Connections = 0; ///< Connections that the proxy could use.
};

/// A proxy's renewal of its lease.
struct LeaseRenewal final {
  ControlSessionId m_Session; ///< The proxy's session.
  std::uint64_t m_Sequence =
      0; ///< Sequence number from ProxyLease::renewalSent.
  std::map<GroupId, Revision>
      m_Confirmed;      ///< Revisions of the group records that it applies.
  Revision m_Catalogue; ///< Catalogue revision that it has applied.
  Revision m_Homes;     ///< Revision of the session homes that it applies.
  std::vector<ShareDemand> m_Demand; ///< Connections that it could use.
  std::optional<std::set<GroupId>>
      m_ServedGroups; ///< Groups that it serves; none: all groups.
};

/// The role that a backend server announces.
enum class BackendRole : std::uint8_t { Primary, Replica };

/// A backend server's announcement.
struct ServerAnnouncement final {
  GroupId m_Group;                           ///< Its group.
  ServerId m_Server;                         ///< Its id.
  FailureDomainId m_Domain;                  ///< Its failure domain.
  std::string m_Address;                     ///< Its IP address.
  std::uint16_t m_Port = 0;                  ///< Its TCP port.
  BackendRole m_Role = BackendRole::Replica; ///< Its role.
  LogPoint m_Point;                          ///< Its term and position.
  std::uint32_t m_Slots = 1; ///< Statements that it can run at once.
  std::uint32_t m_ConnectionLimit =
      0;                   ///< Total number of connections that it accepts.
  bool m_Leaving = false;  ///< It is leaving.
  bool m_HasEnded = false; ///< It has ended for good.
  bool m_Delegated =
      false; ///< Its group uses ReplicationMode::Delegated; m_Point is not set.
  std::uint64_t m_Incarnation =
      0; ///< Start time of the server, Unix time in ms; 0: unknown.
  std::uint64_t m_Sequence =
      0; ///< Increases with each announcement of an incarnation; 0: unknown.
};

/// The reason why a proxy suspects a backend server.
enum class SuspicionKind : std::uint8_t {
  ConnectRefused, ///< A connection could not be opened.
  Reset,          ///< An open connection was reset or closed.
  Silent,         ///< The server did not answer within a time limit.
  NotPrimary,     ///< The server refused a write because it is not the primary.
  SlowAnswer, ///< The server has not answered for a while. That is no evidence
              ///< of a failure yet, but the leader makes a position call to
              ///< check.
};

/// A proxy's report about a backend server.
struct ServerSuspicion final {
  ControlSessionId m_Session; ///< Session of the reporting proxy.
  GroupId m_Group;            ///< The server's group.
  ServerId m_Server;          ///< The server.
  SuspicionKind m_Kind = SuspicionKind::Reset; ///< The reason.
};

/// The calls that the control leader makes to backend servers; see
/// docs/BACKEND_CONTRACT.md.
enum class BackendCallKind : std::uint8_t { Fence, Promote, Follow, Position };

/// The outcome of a backend call.
struct BackendCallResult final {
  std::uint64_t m_Call = 0; ///< CallBackend::m_Call.
  bool m_Ok = false;        ///< True if the server returned the result row.
  bool m_Refused = false;   ///< Promote: the server cannot be promoted.
  bool m_IsAlive =
      false; ///< The call failed, but with an error from the server itself.
  LogPoint m_Point; ///< Term and position from the row.
  BackendRole m_Role =
      BackendRole::Replica; ///< Position calls: role from the row.
  Term m_ServerTerm;        ///< Position calls in delegated groups: newest term
                            ///< that the server knows; for a primary, the term
                            ///< that it leads. 0: unknown.
  std::string m_Reason;     ///< Reason of a failure, for logs.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CONTROLEVENTS_H
