#include "ragwortmux/Process/Entry/GroupEvent.h"

#include "ragwortmux/Request/GroupCore.h"

#include <utility>

namespace ragwortmux {

namespace {

/// Calls the GroupCore function that corresponds to an event.
struct EventVisitor final {
  GroupCore &m_Core;       ///< The core.
  Instant m_Now;           ///< When the event is handled.
  GroupActions &m_Actions; ///< Receives the actions.

  void operator()(SubmitEvent &Event) {
    m_Core.submit(m_Now, std::move(Event.m_Request), m_Actions);
  }
  void operator()(const CallerDisconnectedEvent &Event) {
    m_Core.callerDisconnected(m_Now, Event.m_Caller, m_Actions);
  }
  void operator()(const ConnectionOpenedEvent &Event) {
    m_Core.connectionOpened(m_Now, Event.m_Connection, m_Actions);
  }
  void operator()(const ConnectionFailedEvent &Event) {
    m_Core.connectionFailed(m_Now, Event.m_Connection, Event.m_SqlState,
                            m_Actions);
  }
  void operator()(const ConnectionLostEvent &Event) {
    m_Core.connectionLost(m_Now, Event.m_Connection, m_Actions);
  }
  void operator()(const ConnectionClosedEvent &Event) {
    m_Core.connectionClosed(m_Now, Event.m_Connection, m_Actions);
  }
  void operator()(StatementAnsweredEvent &Event) {
    m_Core.statementAnswered(m_Now, Event.m_Connection,
                             std::move(Event.m_Answer), m_Actions);
  }
  void operator()(const PositionSampledEvent &Event) {
    m_Core.positionSampled(m_Now, Event.m_Server, Event.m_Point,
                           Event.m_IsPrimary, Event.m_QuerySentAt, m_Actions);
  }
  void operator()(const MonitorFailedEvent &Event) {
    m_Core.monitorFailed(m_Now, Event.m_Server, m_Actions);
  }
  void operator()(const ViewChangedEvent &Event) {
    m_Core.viewChanged(m_Now, Event.m_View, m_Actions);
  }
  void operator()(const LeaseExtendedEvent &Event) {
    m_Core.leaseExtended(m_Now, Event.m_ValidUntil, m_Actions);
  }
  void operator()(const KeyReservedEvent &Event) {
    m_Core.keyReserved(m_Now, Event.m_Request, Event.m_Result, m_Actions);
  }
  void operator()(const OutcomeRecordedEvent &Event) {
    m_Core.outcomeRecorded(m_Now, Event.m_Request, Event.m_Recorded, m_Actions);
  }
  void operator()(const AttemptEndedEvent &Event) {
    m_Core.attemptEnded(m_Now, Event.m_Request, Event.m_Outcome, Event.m_Point,
                        m_Actions);
  }
  void operator()(const SessionPointFoundEvent &Event) {
    m_Core.sessionPointFound(m_Now, Event.m_Request, Event.m_Point,
                             Event.m_IsKnown, m_Actions);
  }
  void operator()(const SessionPointStoredEvent &Event) {
    m_Core.sessionPointStored(m_Now, Event.m_Request, Event.m_Stored,
                              m_Actions);
  }
  void operator()(const DrainEvent &) { m_Core.drain(m_Now, m_Actions); }
  void operator()(const TickEvent &) { m_Core.tick(m_Now, m_Actions); }
};

} // namespace

void applyEvent(GroupCore &Core, Instant Now, GroupEvent &&Event,
                GroupActions &Actions) {
  std::visit(EventVisitor{Core, Now, Actions}, Event);
}

} // namespace ragwortmux
