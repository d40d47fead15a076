#ifndef RAGWORTMUX_REQUEST_RELAYEVENTS_H
#define RAGWORTMUX_REQUEST_RELAYEVENTS_H

#include "ragwortmux/Request/SessionEvents.h"

#include <variant>
#include <vector>

/// \file
/// Output types of RelayCore.

namespace ragwortmux {

/// Sends a statement to another entry host; completed by RelayCore::answered().
struct RelayStatement final {
  HostId m_Host;            ///< Host that is to run the statement.
  SessionRequest m_Request; ///< The statement, with the ids of this host.
};

/// Tells a host to release the state of a caller.
struct ReleaseRelayedCaller final {
  HostId m_Host;               ///< The host.
  CallerConnectionId m_Caller; ///< The caller.
};

/// Log record of one decision about a relayed statement.
struct RelayDecisionRecord final {
  SessionDecision m_Decision = SessionDecision::Sent; ///< The decision.
  StatementId m_Statement; ///< Id that the caller gave the statement.
  EntryName m_Entry;       ///< Catalogue entry of the statement.
  GroupId m_Group;         ///< Its group.
  HostId m_Host;           ///< Host it was last relayed to; empty if none.
  ResultCode m_Code =
      ResultCode::Ok;        ///< Outcome, or reason of a retry or refusal.
  Duration m_Waited{0};      ///< Time since arrival.
  std::uint32_t m_Tries = 0; ///< Number of times it was relayed.
};

/// An action for the caller of RelayCore to execute, in order.
using RelayAction = std::variant<RelayStatement, ReleaseRelayedCaller,
                                 SessionAnswer, RelayDecisionRecord>;

/// Actions in order of execution.
using RelayActions = std::vector<RelayAction>;

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_RELAYEVENTS_H
