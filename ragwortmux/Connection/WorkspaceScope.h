#ifndef RAGWORTMUX_CONNECTION_WORKSPACESCOPE_H
#define RAGWORTMUX_CONNECTION_WORKSPACESCOPE_H

#include "ragwortmux/Core/Ids.h"

/// \file
/// Names that callers choose, scoped to their workspace: callers of different
/// workspaces may choose the same name without reaching each other's state.

namespace ragwortmux {

/// The session \p Session of a caller of \p Workspace, as the session homes
/// know it. An empty name stays empty, and a name without a workspace stays as
/// it is unless it looks like a scoped one.
SessionName scopeToWorkspace(const WorkspaceId &Workspace,
                             const SessionName &Session);
/// The owner of the request keys of callers of \p Workspace at an entry of \p
/// Owner, as the ledger knows it.
OwnerId scopeToWorkspace(const WorkspaceId &Workspace, const OwnerId &Owner);

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_WORKSPACESCOPE_H
