#include "ragwortmux/Connection/WorkspaceScope.h"

#include <string>

namespace ragwortmux {

namespace {

/// Encloses the workspace in a scoped name. Names of workspaces and of owners
/// have no control characters.
constexpr char Mark = '\x01';

std::string scopedText(const WorkspaceId &Workspace, const std::string &Name) {
  const bool LooksScoped = !Name.empty() && Name.front() == Mark;
  if (Workspace.value().empty() && !LooksScoped)
    return Name;
  return Mark + Workspace.value() + Mark + Name;
}

} // namespace

SessionName scopeToWorkspace(const WorkspaceId &Workspace,
                             const SessionName &Session) {
  if (Session.value().empty())
    return Session;
  return SessionName(scopedText(Workspace, Session.value()));
}

OwnerId scopeToWorkspace(const WorkspaceId &Workspace, const OwnerId &Owner) {
  return OwnerId(scopedText(Workspace, Owner.value()));
}

} // namespace ragwortmux
