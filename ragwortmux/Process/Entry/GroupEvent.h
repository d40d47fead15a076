#ifndef RAGWORTMUX_PROCESS_ENTRY_GROUPEVENT_H
#define RAGWORTMUX_PROCESS_ENTRY_GROUPEVENT_H

#include "ragwortmux/Request/GroupEvents.h"
#include "ragwortmux/Version/GroupView.h"

#include <optional>
#include <string>
#include <variant>

/// \file
/// The events of GroupCore as messages to the actor that owns the core. Each
/// struct contains the arguments of the GroupCore function of the same name.

namespace ragwortmux {

class GroupCore;

struct SubmitEvent final {
  GroupRequest m_Request; ///< The request.
};
struct CallerDisconnectedEvent final {
  CallerConnectionId m_Caller; ///< The caller.
};
struct ConnectionOpenedEvent final {
  ConnectionId m_Connection; ///< The connection.
};
struct ConnectionFailedEvent final {
  ConnectionId m_Connection; ///< The connection.
  std::string m_SqlState;    ///< Empty if no server answered.
};
struct ConnectionLostEvent final {
  ConnectionId m_Connection; ///< The connection.
};
struct ConnectionClosedEvent final {
  ConnectionId m_Connection; ///< The connection.
};
struct StatementAnsweredEvent final {
  ConnectionId m_Connection; ///< The connection.
  BackendAnswer m_Answer;    ///< The complete answer.
};
struct PositionSampledEvent final {
  ServerId m_Server;        ///< The server.
  LogPoint m_Point;         ///< Its log position.
  bool m_IsPrimary = false; ///< Role that the server reported.
  Instant m_QuerySentAt;    ///< When the query was sent.
};
struct MonitorFailedEvent final {
  ServerId m_Server; ///< The server.
};
struct ViewChangedEvent final {
  GroupView m_View; ///< The new group record.
};
struct LeaseExtendedEvent final {
  Instant m_ValidUntil; ///< End of the lease.
};
struct KeyReservedEvent final {
  RequestId m_Request;    ///< The request.
  ReserveResult m_Result; ///< The ledger's answer.
};
struct OutcomeRecordedEvent final {
  RequestId m_Request;     ///< The request.
  bool m_Recorded = false; ///< A quorum has stored the record.
};
struct AttemptEndedEvent final {
  RequestId m_Request; ///< The request.
  AttemptOutcome m_Outcome =
      AttemptOutcome::Failed; ///< Committed or aborted, if known.
  std::optional<LogPoint>
      m_Point; ///< Position of the primary after the commit.
};
struct SessionPointFoundEvent final {
  RequestId m_Request;             ///< The request.
  std::optional<LogPoint> m_Point; ///< The session's log position.
  bool m_IsKnown = false;          ///< See GroupCore::sessionPointFound().
};
struct SessionPointStoredEvent final {
  RequestId m_Request;   ///< The request.
  bool m_Stored = false; ///< Stored at one home or more.
};
struct DrainEvent final {};
struct TickEvent final {};

/// Any event of a group.
using GroupEvent =
    std::variant<SubmitEvent, CallerDisconnectedEvent, ConnectionOpenedEvent,
                 ConnectionFailedEvent, ConnectionLostEvent,
                 ConnectionClosedEvent, StatementAnsweredEvent,
                 PositionSampledEvent, MonitorFailedEvent, ViewChangedEvent,
                 LeaseExtendedEvent, KeyReservedEvent, OutcomeRecordedEvent,
                 AttemptEndedEvent, SessionPointFoundEvent,
                 SessionPointStoredEvent, DrainEvent, TickEvent>;

/// Applies \p Event to \p Core at time \p Now.
void applyEvent(GroupCore &Core, Instant Now, GroupEvent &&Event,
                GroupActions &Actions);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_GROUPEVENT_H
