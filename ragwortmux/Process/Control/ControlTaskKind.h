#ifndef RAGWORTMUX_PROCESS_CONTROL_CONTROLTASKKIND_H
#define RAGWORTMUX_PROCESS_CONTROL_CONTROLTASKKIND_H

#include <cstdint>
#include <string_view>

namespace ragwortmux {

/// Kind of a task of the control actor.
enum class ControlTaskKind : std::uint8_t {
  LogMessage,    ///< A message of the replicated log.
  Tick,          ///< Timeouts.
  OpenSession,   ///< An entry process opens a session.
  Renewal,       ///< An entry process renews its lease.
  Report,        ///< Announcements and suspicions of backend servers.
  Command,       ///< A command for the replicated state.
  Query,         ///< A query of the replicated state.
  Confirmation,  ///< An entry process confirms revisions.
  BackendResult, ///< A call to a backend server ended.
  Peers,         ///< Identities of the other control hosts.
  Permits,       ///< An entry process takes permits of limited workspaces.
  Identify,      ///< This host's identity is asked for.
};

/// Name of \p Kind in logs and metrics.
std::string_view controlTaskName(ControlTaskKind Kind);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_CONTROLTASKKIND_H
