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
/// document) or `status` (groups, sessions, shares).
std::optional<std::string> controlQueryJson(const ControlState &State,
                                            const std::string &QueryKind,
                                            const std::string &Name);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_CONTROLQUERY_H
