#ifndef RAGWORTMUX_PROCESS_PEERS_CONTROLMESSAGES_H
#define RAGWORTMUX_PROCESS_PEERS_CONTROLMESSAGES_H

#include "ragwortmux/Connection/SessionHome.h"
#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/CatalogueRecords.h"
#include "ragwortmux/Version/ControlEvents.h"
#include "ragwortmux/Version/ControlResult.h"
#include "ragwortmux/Version/GroupView.h"
#include "ragwortmux/Version/PermitMessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Messages between entry and control processes, independent of the wire
/// format.

namespace ragwortmux {

/// The address at which an entry process serves RPC.
struct EntryAddress final {
  HostId m_Host;            ///< Its host.
  FailureDomainId m_Domain; ///< Its failure domain.
  std::string m_Address;    ///< IP address.
  std::uint16_t m_Port = 0; ///< RPC port.

  friend bool operator==(const EntryAddress &, const EntryAddress &) = default;
};

/// The session homes with their addresses.
struct SessionHomesView final {
  Revision m_Revision;                   ///< Rises with each change.
  std::vector<EntryAddress> m_Active;    ///< Used for look-ups and stores.
  std::vector<EntryAddress> m_Preparing; ///< Next homes; used likewise.
};

/// An update from control to an entry process.
struct ControlUpdate final {
  std::vector<GroupView> m_Views;            ///< Newer records of groups.
  std::optional<CatalogueDelta> m_Catalogue; ///< Newer catalogue entries.
  std::shared_ptr<const SessionHomesView>
      m_Homes; ///< The session homes, shared by the updates to all processes;
               ///< null: unchanged.
};

/// The newest revisions that an entry process has taken into use.
struct Confirmation final {
  std::map<GroupId, Revision> m_Groups; ///< Records of groups.
  Revision m_Catalogue;                 ///< Catalogue.
  Revision m_Homes;                     ///< Session homes.
};

/// Whether a call was carried out.
struct ControlStatus final {
  ResultCode m_Code = ResultCode::Ok; ///< Ok, or the kind of failure.
  std::string m_Reason;               ///< One sentence about the failure.
  std::string m_Leader; ///< With NotLeader: the leader's address, if known.

  bool ok() const { return m_Code == ResultCode::Ok; }
};

/// Answer to a process that opens a control session.
struct OpenSessionReply final {
  ControlStatus m_Status;     ///< Whether it was opened.
  ControlSessionId m_Session; ///< The session.
};

/// Answer to a renewal.
struct RenewReply final {
  ControlStatus m_Status; ///< NotLeader, or Unauthorized if the session ended.
  Duration m_Lease{0};    ///< Length, from the sending of the renewal.
  ControlUpdate m_Update; ///< Everything newer than the confirmed revisions.
};

/// Answer to a proposed command.
struct CommandReply final {
  ControlStatus m_Status; ///< With NotLeader or Unreachable it is unknown
                          ///< whether the command was applied.
  ControlResult m_Result; ///< Result of applying the command, if applied.
};

/// Answer to a query of the leader's state.
struct QueryReply final {
  ControlStatus m_Status; ///< Whether it could be answered.
  std::string m_Json;     ///< The answer.
};

/// Answer to a request for permits.
struct TakePermitsReply final {
  ControlStatus m_Status; ///< Whether this process leads and knows the session.
  PermitGrants m_Grants;  ///< The permits.
};

/// The identity of a control process.
struct IdentifyReply final {
  std::string m_Voter; ///< Identity of its data folder; empty: no control role.
  bool m_Blank = false;               ///< Its log is empty.
  HostId m_Host;                      ///< Its host.
  std::vector<std::string> m_Members; ///< Addresses of the log's members, as it
                                      ///< knows them.
  std::uint64_t m_Configuration = 0;  ///< Index of the log entry that holds
                                      ///< these members; 0: none is committed.
};

/// Key of a session's position in one group.
struct SessionPointKey final {
  SessionName m_Session; ///< The session.
  GroupId m_Group;       ///< The group.
  Revision m_Homes; ///< Revision of the session homes that the sender uses.
};

/// A position to store for a session.
struct SessionPointEntry final {
  SessionPointKey m_Key;                 ///< Session and group.
  LogPoint m_Point;                      ///< The position.
  std::optional<SessionTicket> m_Ticket; ///< Set: store only if the session
                                         ///< cannot have been removed since
                                         ///< the ticket was issued.
};

/// Delivers an update to an entry process; the reply is empty if the process
/// could not be reached.
using UpdateListener =
    std::function<void(ControlSessionId Session, ControlUpdate Update,
                       std::function<void(std::optional<Confirmation>)> Reply)>;

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_CONTROLMESSAGES_H
