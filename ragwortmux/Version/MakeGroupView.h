#ifndef RAGWORTMUX_VERSION_MAKEGROUPVIEW_H
#define RAGWORTMUX_VERSION_MAKEGROUPVIEW_H

#include "ragwortmux/Version/GroupView.h"

#include <optional>

namespace ragwortmux {

class ControlState;

/// Makes the view of \p Group that is sent to \p Session, with the session's
/// connection shares; none if the group is unknown.
std::optional<GroupView> makeGroupView(const ControlState &State,
                                       const GroupId &Group,
                                       ControlSessionId Session);

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_MAKEGROUPVIEW_H
