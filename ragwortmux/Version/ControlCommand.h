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

#include <string>
#include <variant>
#include <vector>

/// \file
/// The commands of the control log. ControlState::apply states what each one
/// requires.

namespace ragwortmux {

/// Creates or replaces a catalogue entry.
struct PutEntry final {
  Revision m_Expected;    ///< The entry's current revision; 0: does not exist.
  ChangeId m_Change;      ///< Makes a resend idempotent.
  std::string m_Operator; ///< Who asks.
  CatalogueEntry m_Entry; ///< The entry.
  friend bool operator==(const PutEntry &, const PutEntry &) = default;
};

/// Deletes a catalogue entry.
struct DeleteEntry final {
  Revision m_Expected;    ///< The entry's current revision.
  ChangeId m_Change;      ///< Makes a resend idempotent.
  std::string m_Operator; ///< Who asks.
  EntryName m_Name;       ///< Which entry.
  friend bool operator==(const DeleteEntry &, const DeleteEntry &) = default;
};

/// Replaces the whole catalogue under an operator's version. A version that is
/// not higher than the one held changes nothing and is accepted.
struct ReplaceCatalogue final {
  CatalogueVersion m_Version;            ///< The operator's version.
  std::string m_Document;                ///< What the operator sent.
  std::vector<CatalogueEntry> m_Entries; ///< All entries, names unique.
  std::vector<GroupPolicy> m_Groups;     ///< All groups.
  friend bool operator==(const ReplaceCatalogue &,
                         const ReplaceCatalogue &) = default;
};

/// Opens the control session of one run of an entry process.
struct OpenSession final {
  HostId m_Host;               ///< The entry host.
  Incarnation m_Incarnation;   ///< Which run of its process.
  FailureDomainId m_Domain;    ///< Where the host is.
  std::string m_Address;       ///< IP number for calls between processes.
  std::uint16_t m_RpcPort = 0; ///< TCP port for calls between processes.
  friend bool operator==(const OpenSession &, const OpenSession &) = default;
};

/// Ends a session whose lease has run out or that was given up.
struct EndSession final {
  ControlSessionId m_Session; ///< Which session.
  friend bool operator==(const EndSession &, const EndSession &) = default;
};

/// Registers a backend server at its first announcement, or after its address
/// or limits changed.
struct RegisterServer final {
  GroupId m_Group;                     ///< Its group; created if unknown.
  ServerId m_Server;                   ///< Its id.
  FailureDomainId m_Domain;            ///< Where it is.
  std::string m_Address;               ///< IP number.
  std::uint16_t m_Port = 0;            ///< TCP port.
  std::uint32_t m_Slots = 1;           ///< Statements that it runs at once.
  std::uint32_t m_ConnectionLimit = 0; ///< Connections that it accepts in all.
  ReplicationMode m_Replication =
      ReplicationMode::InSyncSet; ///< Who replicates; of a new group.
  friend bool operator==(const RegisterServer &,
                         const RegisterServer &) = default;
};

/// Sets whether a backend server leaves and whether it announces itself.
struct SetServerState final {
  GroupId m_Group;         ///< Its group.
  ServerId m_Server;       ///< Its id.
  bool m_Leaving = false;  ///< Gets no new requests.
  bool m_Announced = true; ///< Its announcements arrive.
  friend bool operator==(const SetServerState &,
                         const SetServerState &) = default;
};

/// Ends a group's term: from now on the group has no primary.
struct EndTerm final {
  GroupId m_Group; ///< The group.
  Term m_NewTerm;  ///< Higher than the current term.
  friend bool operator==(const EndTerm &, const EndTerm &) = default;
};

/// Appoints the primary of the current term.
struct AppointPrimary final {
  GroupId m_Group;   ///< The group.
  Term m_Term;       ///< The current term; the first term of a new group.
  ServerId m_Server; ///< An in-sync server; any server for the first term.
  std::vector<ServerId>
      m_Keep; ///< Other servers that stay as they are; the rest is Behind.
  friend bool operator==(const AppointPrimary &,
                         const AppointPrimary &) = default;
};

/// Sets one server's part in the in-sync set.
struct SetInSync final {
  GroupId m_Group;     ///< The group.
  Term m_Term;         ///< The current term.
  ServerId m_Server;   ///< Not the primary.
  Revision m_Expected; ///< The server's current ServerRecord::m_SyncRevision.
  SyncState m_Sync = SyncState::Behind; ///< InSync only after Joining.
  friend bool operator==(const SetInSync &, const SetInSync &) = default;
};

/// Sets sessions' shares of the connections to one server. Sessions not listed
/// keep theirs.
struct SetShares final {
  GroupId m_Group;                  ///< The server's group.
  ServerId m_Server;                ///< The server.
  std::vector<ShareGrant> m_Grants; ///< The new shares.
  friend bool operator==(const SetShares &, const SetShares &) = default;
};

/// States that a session keeps to the shares of a group's revision.
struct ConfirmShares final {
  GroupId m_Group;            ///< The group.
  ControlSessionId m_Session; ///< The holder.
  Revision m_Revision;        ///< The group's revision that it has confirmed.
  friend bool operator==(const ConfirmShares &,
                         const ConfirmShares &) = default;
};

/// Reserves a request key for one attempt.
struct ReserveKey final {
  OwnerId m_Owner;            ///< Whose request.
  RequestKey m_Key;           ///< A UUID of version 7.
  AttemptId m_Attempt;        ///< The attempt to run.
  ControlSessionId m_Session; ///< The proxy's open session.
  GroupId m_Group;            ///< Where the attempt shall run.
  Term m_Term;                ///< The group's current term.
  friend bool operator==(const ReserveKey &, const ReserveKey &) = default;
};

/// Records the outcome of the attempt that holds the reservation.
struct RecordOutcome final {
  OwnerId m_Owner;     ///< Whose request.
  RequestKey m_Key;    ///< The key.
  AttemptId m_Attempt; ///< The attempt that holds the reservation.
  ResultCode m_Code = ResultCode::Ok; ///< A code 1xx: was not run. 2xx is
                                      ///< refused. Otherwise: ran.
  std::string m_Answer;               ///< The whole answer, if it ran.
  friend bool operator==(const RecordOutcome &,
                         const RecordOutcome &) = default;
};

/// Records what the current primary said about an attempt that it has ended.
struct ResolveAttempt final {
  OwnerId m_Owner;             ///< Whose request.
  RequestKey m_Key;            ///< The key.
  AttemptId m_Attempt;         ///< The attempt that was ended.
  ControlSessionId m_Resolver; ///< The open session that ended it.
  Term m_Term;                 ///< The term of the primary that said so: the
                               ///< group's current one.
  bool m_Committed = false; ///< True: ran, the answer is lost. False: not run.
  friend bool operator==(const ResolveAttempt &,
                         const ResolveAttempt &) = default;
};

/// Advances the log's own wall-clock time.
struct AdvanceTime final {
  WallTime m_Now{}; ///< Earlier times than the log's own are refused.
  friend bool operator==(const AdvanceTime &, const AdvanceTime &) = default;
};

/// Replaces the displayed list of voters.
struct SetVoters final {
  std::vector<VoterRecord> m_Voters; ///< All voters.
  friend bool operator==(const SetVoters &, const SetVoters &) = default;
};

/// Takes one step of a change of the session homes.
struct SetSessionHomes final {
  Revision m_Expected;         ///< The homes' current revision.
  std::vector<HostId> m_Hosts; ///< The new hosts, ascending.
  bool m_Active = false;       ///< False: prepare m_Hosts. True: activate them;
                               ///< they must be the ones in preparation.
  friend bool operator==(const SetSessionHomes &,
                         const SetSessionHomes &) = default;
};

/// Any command of the control log.
using ControlCommand =
    std::variant<PutEntry, DeleteEntry, OpenSession, EndSession, RegisterServer,
                 SetServerState, EndTerm, AppointPrimary, SetInSync, SetShares,
                 ConfirmShares, ReserveKey, RecordOutcome, ResolveAttempt,
                 AdvanceTime, SetVoters, SetSessionHomes, ReplaceCatalogue>;

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CONTROLCOMMAND_H
