#ifndef RAGWORTMUX_VERSION_CONTROLCOMMAND_H
#define RAGWORTMUX_VERSION_CONTROLCOMMAND_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Version/CatalogueEntry.h"
#include "ragwortmux/Version/GroupPolicy.h"
#include "ragwortmux/Version/GroupView.h"
#include "ragwortmux/Version/ReplicationMode.h"
#include "ragwortmux/Version/SessionRecord.h"
#include "ragwortmux/Version/ShareRecord.h"
#include "ragwortmux/Version/VoterRecord.h"
#include "ragwortmux/Version/Workspace.h"

#include <string>
#include <variant>
#include <vector>

/// \file
/// The commands of the control log. ControlState::apply checks the
/// preconditions of each one.

namespace ragwortmux {

/// Creates or replaces a catalogue entry.
struct PutEntry final {
  Revision m_Expected;    ///< The entry's current revision; 0: does not exist.
  ChangeId m_Change;      ///< Id of the change; makes a resend idempotent.
  std::string m_Operator; ///< Operator who makes the change.
  CatalogueEntry m_Entry; ///< The entry.
  friend bool operator==(const PutEntry &, const PutEntry &) = default;
};

/// Deletes a catalogue entry.
struct DeleteEntry final {
  Revision m_Expected;    ///< The entry's current revision.
  ChangeId m_Change;      ///< Id of the change; makes a resend idempotent.
  std::string m_Operator; ///< Operator who makes the change.
  EntryName m_Name;       ///< Name of the entry.
  friend bool operator==(const DeleteEntry &, const DeleteEntry &) = default;
};

/// Replaces the whole catalogue. A version that is not higher than the current
/// one is accepted, but changes nothing.
struct ReplaceCatalogue final {
  CatalogueVersion m_Version; ///< The operator's version.
  std::string m_Document;     ///< The document that the operator sent.
  std::vector<CatalogueEntry> m_Entries; ///< All entries, with unique names.
  std::vector<GroupPolicy> m_Groups;     ///< Policies of all groups.
  std::vector<Workspace> m_Workspaces;   ///< All workspaces.
  friend bool operator==(const ReplaceCatalogue &,
                         const ReplaceCatalogue &) = default;
};

/// Creates or replaces a workspace.
struct PutWorkspace final {
  Revision m_Expected;    ///< The workspace's revision; 0: does not exist.
  ChangeId m_Change;      ///< Id of the change; makes a resend idempotent.
  std::string m_Operator; ///< Operator who makes the change.
  Workspace m_Workspace;  ///< The workspace.
  friend bool operator==(const PutWorkspace &, const PutWorkspace &) = default;
};

/// Deletes a workspace and with it all its keys.
struct DeleteWorkspace final {
  Revision m_Expected;    ///< The workspace's current revision.
  ChangeId m_Change;      ///< Id of the change; makes a resend idempotent.
  std::string m_Operator; ///< Operator who makes the change.
  WorkspaceId m_Name;     ///< Name of the workspace.
  friend bool operator==(const DeleteWorkspace &,
                         const DeleteWorkspace &) = default;
};

/// Opens the control session of one run of an entry process.
struct OpenSession final {
  HostId m_Host;               ///< The entry host.
  Incarnation m_Incarnation;   ///< Incarnation of the entry process.
  FailureDomainId m_Domain;    ///< Failure domain of the host.
  std::string m_Address;       ///< IP address for calls between processes.
  std::uint16_t m_RpcPort = 0; ///< TCP port for calls between processes.
  friend bool operator==(const OpenSession &, const OpenSession &) = default;
};

/// Ends a session whose lease has expired or that its process has ended.
struct EndSession final {
  ControlSessionId m_Session; ///< The session.
  friend bool operator==(const EndSession &, const EndSession &) = default;
};

/// Registers a backend server at its first announcement, or after its address
/// or limits changed.
struct RegisterServer final {
  GroupId m_Group;           ///< Its group; created if unknown.
  ServerId m_Server;         ///< Its id.
  FailureDomainId m_Domain;  ///< Its failure domain.
  std::string m_Address;     ///< Its IP address.
  std::uint16_t m_Port = 0;  ///< Its TCP port.
  std::uint32_t m_Slots = 1; ///< Statements that it can run at once.
  std::uint32_t m_ConnectionLimit =
      0; ///< Total number of connections that it accepts.
  ReplicationMode m_Replication =
      ReplicationMode::InSyncSet; ///< Replication mode if the group is created.
  friend bool operator==(const RegisterServer &,
                         const RegisterServer &) = default;
};

/// Sets whether a backend server is leaving, announces itself and has ended.
struct SetServerState final {
  GroupId m_Group;         ///< Its group.
  ServerId m_Server;       ///< Its id.
  bool m_Leaving = false;  ///< The server is leaving and gets no new requests.
  bool m_Announced = true; ///< The leader receives its announcements.
  bool m_HasEnded = false; ///< The server has deregistered.
  friend bool operator==(const SetServerState &,
                         const SetServerState &) = default;
};

/// Ends a group's term; the group has no primary until one is appointed.
struct EndTerm final {
  GroupId m_Group; ///< The group.
  Term m_NewTerm;  ///< The next term, higher than the current one.
  friend bool operator==(const EndTerm &, const EndTerm &) = default;
};

/// Records that a server of a delegated group is about to be ordered to lead.
/// The order must not be sent before this has been applied.
struct OrderPromotion final {
  GroupId m_Group;   ///< The group.
  Term m_Term;       ///< The current term, which has no primary yet.
  ServerId m_Server; ///< The server.
  friend bool operator==(const OrderPromotion &,
                         const OrderPromotion &) = default;
};

/// Appoints the primary of the current term.
struct AppointPrimary final {
  GroupId m_Group;   ///< The group.
  Term m_Term;       ///< The current term; the first term of a new group.
  ServerId m_Server; ///< The new primary: an in-sync server, or any server in
                     ///< the first term.
  std::vector<ServerId> m_Retained; ///< Other servers that retain their sync
                                    ///< state; all others become Behind.
  Term m_ServerTerm = Term(); ///< Delegated groups: the term that the server
                              ///< itself leads; 0: unknown.
  friend bool operator==(const AppointPrimary &,
                         const AppointPrimary &) = default;
};

/// Sets the sync state of one server.
struct SetInSync final {
  GroupId m_Group;     ///< The group.
  Term m_Term;         ///< The current term.
  ServerId m_Server;   ///< The server, which must not be the primary.
  Revision m_Expected; ///< The server's current ServerRecord::m_SyncRevision.
  SyncState m_Sync =
      SyncState::Behind; ///< The new state; InSync only after Joining.
  friend bool operator==(const SetInSync &, const SetInSync &) = default;
};

/// Sets sessions' shares of the connections to one server. Shares of sessions
/// that are not listed stay unchanged.
struct SetShares final {
  GroupId m_Group;                  ///< The server's group.
  ServerId m_Server;                ///< The server.
  std::vector<ShareGrant> m_Grants; ///< The new shares.
  friend bool operator==(const SetShares &, const SetShares &) = default;
};

/// Records that a session has confirmed the shares of a group's revision.
struct ConfirmShares final {
  GroupId m_Group;            ///< The group.
  ControlSessionId m_Session; ///< The session.
  Revision m_Revision;        ///< The confirmed revision of the group.
  friend bool operator==(const ConfirmShares &,
                         const ConfirmShares &) = default;
};

/// Reserves a request key for one attempt.
struct ReserveKey final {
  OwnerId m_Owner;            ///< Owner of the request.
  RequestKey m_Key;           ///< The key, a UUID of version 7.
  AttemptId m_Attempt;        ///< The attempt to run.
  ControlSessionId m_Session; ///< The proxy's open session.
  GroupId m_Group;            ///< The group to run the attempt in.
  Term m_Term;                ///< The group's current term.
  friend bool operator==(const ReserveKey &, const ReserveKey &) = default;
};

/// Records the outcome of the attempt that holds the reservation.
struct RecordOutcome final {
  OwnerId m_Owner;     ///< Owner of the request.
  RequestKey m_Key;    ///< The key.
  AttemptId m_Attempt; ///< The attempt that holds the reservation.
  ResultCode m_Code = ResultCode::Ok; ///< The outcome. Codes 1xx: not run; 2xx
                                      ///< are refused; others: ran.
  std::string m_Answer;               ///< The whole answer, if it ran.
  friend bool operator==(const RecordOutcome &,
                         const RecordOutcome &) = default;
};

/// Records the outcome of an attempt that was ended on the current primary
/// because its outcome was unknown.
struct ResolveAttempt final {
  OwnerId m_Owner;             ///< Owner of the request.
  RequestKey m_Key;            ///< The key.
  AttemptId m_Attempt;         ///< The attempt that was ended.
  ControlSessionId m_Resolver; ///< The open session that ended it.
  Term m_Term; ///< Term of the primary that reported the outcome; must be the
               ///< group's current one.
  bool m_Committed =
      false; ///< True: ran, but the answer is lost. False: not run.
  friend bool operator==(const ResolveAttempt &,
                         const ResolveAttempt &) = default;
};

/// Advances the log's wall-clock time.
struct AdvanceTime final {
  WallTime m_Now{}; ///< The new time; refused if earlier than the log's time.
  friend bool operator==(const AdvanceTime &, const AdvanceTime &) = default;
};

/// Replaces the displayed list of voters.
struct SetVoters final {
  std::vector<VoterRecord> m_Voters; ///< All voters.
  friend bool operator==(const SetVoters &, const SetVoters &) = default;
};

/// Takes one step of a change of the session homes.
struct SetSessionHomes final {
  Revision m_Expected;         ///< Current revision of the session homes.
  std::vector<HostId> m_Hosts; ///< The new hosts in ascending order.
  bool m_Active = false; ///< False: prepare m_Hosts. True: activate m_Hosts,
                         ///< which must be the prepared ones.
  friend bool operator==(const SetSessionHomes &,
                         const SetSessionHomes &) = default;
};

/// Any command of the control log.
using ControlCommand =
    std::variant<PutEntry, DeleteEntry, OpenSession, EndSession, RegisterServer,
                 SetServerState, EndTerm, AppointPrimary, SetInSync, SetShares,
                 ConfirmShares, ReserveKey, RecordOutcome, ResolveAttempt,
                 AdvanceTime, SetVoters, SetSessionHomes, ReplaceCatalogue,
                 PutWorkspace, DeleteWorkspace, OrderPromotion>;

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CONTROLCOMMAND_H
