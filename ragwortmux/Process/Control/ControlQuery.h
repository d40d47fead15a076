#ifndef RAGWORTMUX_PROCESS_CONTROL_CONTROLQUERY_H
#define RAGWORTMUX_PROCESS_CONTROL_CONTROLQUERY_H

#include <optional>
#include <string>

namespace ragwortmux {

class ControlState;

/// Runs an operator's query on the leader's state and returns the answer as
/// JSON; empty if the catalogue entry or the kind of query does not exist.
///
/// \p QueryKind is `entry` (the catalogue entry \p Name), `entries` (all of
/// them), `history` (the changes of \p Name), `document` (the catalogue's
/// document), `status` (groups, sessions, shares), `workspace` (the workspace
/// \p Name), `workspaces` (some of them by name, after \p Name) or
/// `workspace-edit` (what an entry host needs to change a workspace; \p Name is
/// that of workspaceEditQuery()). Only the last one has whole digests of keys.
std::optional<std::string> controlQueryJson(const ControlState &State,
                                            const std::string &QueryKind,
                                            const std::string &Name);

/// The name for the query `workspace-edit` of \p Name by change \p Change.
std::string workspaceEditQuery(const std::string &Name,
                               const std::string &Change);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_CONTROLQUERY_H
