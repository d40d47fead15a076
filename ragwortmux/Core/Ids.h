#ifndef RAGWORTMUX_CORE_IDS_H
#define RAGWORTMUX_CORE_IDS_H

#include "ragwortmux/Core/StrongId.h"

#include <cstdint>
#include <string>

/// \file
/// Ids and counters shared by several libraries.

namespace ragwortmux {

/// A host that runs a process of the system; unique, set in the settings of the
/// process.
using HostId = StrongId<struct HostIdTag, std::string>;
/// A failure domain: hosts that can be cut off from the others together.
using FailureDomainId = StrongId<struct FailureDomainIdTag, std::string>;
/// A database group: one primary and its replicas, all holding the same data.
using GroupId = StrongId<struct GroupIdTag, std::string>;
/// A backend server; unique within its group.
using ServerId = StrongId<struct ServerIdTag, std::string>;
/// Name of a catalogue entry; callers connect to it as their database.
using EntryName = StrongId<struct EntryNameTag, std::string>;
/// The owner named by a catalogue entry.
using OwnerId = StrongId<struct OwnerIdTag, std::string>;
/// A workspace: a customer whose callers share keys and limits.
using WorkspaceId = StrongId<struct WorkspaceIdTag, std::string>;
/// SHA-256 digest of a caller key; 32 bytes.
using KeyDigest = StrongId<struct KeyDigestTag, std::string>;
/// Name of a session, chosen by its caller; may move between entry hosts.
using SessionName = StrongId<struct SessionNameTag, std::string>;
/// A caller's idempotency key: a UUID of version 7, whose leading 48 bits are
/// milliseconds of Unix time.
using RequestKey = StrongId<struct RequestKeyTag, std::string>;
/// An operator's id for one catalogue change; makes resending the change
/// idempotent.
using ChangeId = StrongId<struct ChangeIdTag, std::string>;
/// One attempt to run a keyed request on a backend server; unique across all
/// hosts.
using AttemptId = StrongId<struct AttemptIdTag, std::string>;

/// A request of one caller, unique within one process.
using RequestId = StrongId<struct RequestIdTag, std::uint64_t>;
/// A caller's connection, unique within one process.
using CallerConnectionId =
    StrongId<struct CallerConnectionIdTag, std::uint64_t>;
/// A connection to a backend server, unique within one process.
using ConnectionId = StrongId<struct ConnectionIdTag, std::uint64_t>;
/// A control session of one entry process; assigned by the control log, never
/// reused.
using ControlSessionId = StrongId<struct ControlSessionIdTag, std::uint64_t>;

/// An incoming connection over which another entry process relays statements;
/// unique within one process.
using RelayPeerId = StrongId<struct RelayPeerIdTag, std::uint64_t>;

/// The term of a database group; increases with each change of primary. 0 means
/// none yet.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// A position in a database group's replication log; 0 in an empty log.
using LogPosition = StrongId<struct LogPositionTag, std::uint64_t>;
/// The version that an operator assigned to a whole catalogue; the highest one
/// is in force.
using CatalogueVersion = StrongId<struct CatalogueVersionTag, std::uint64_t>;
/// A revision of the catalogue or of another replicated record; increases with
/// each change.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

} // namespace ragwortmux

#endif // RAGWORTMUX_CORE_IDS_H
