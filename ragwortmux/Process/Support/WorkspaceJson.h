#ifndef RAGWORTMUX_PROCESS_SUPPORT_WORKSPACEJSON_H
#define RAGWORTMUX_PROCESS_SUPPORT_WORKSPACEJSON_H

#include "ragwortmux/Process/Support/SettingFault.h"
#include "ragwortmux/Version/WorkspaceRecords.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Workspaces, and operators' changes to them, as JSON.

namespace ragwortmux {

/// What an operator does to a workspace.
enum class WorkspaceAction : std::uint8_t {
  List,
  Show,
  Put, ///< Create it, or replace its limit and, if given, its keys.
  Delete,
  AddKey,
  RemoveKey,
  SetLimit,
};

/// The name of \p Action, such as `add-key`.
std::string_view workspaceActionName(WorkspaceAction Action);
/// The action named \p Word; none if there is no such action.
std::optional<WorkspaceAction> parseWorkspaceAction(std::string_view Word);

/// An operator's change to the workspace that has the revision which the
/// operator names.
struct WorkspaceEdit final {
  WorkspaceAction m_Action = WorkspaceAction::Put; ///< Not List, Show, Delete.
  WorkspaceLimit m_Limit; ///< Put, SetLimit: the new limit.
  std::optional<std::vector<KeyDigest>>
      m_Keys;              ///< Put: the new keys, none: unchanged; AddKey: one.
  std::string m_KeyDigest; ///< RemoveKey: first hexadecimal digits of the key's
                           ///< digest; see isDigestPrefix().

  friend bool operator==(const WorkspaceEdit &,
                         const WorkspaceEdit &) = default;
};

/// \p Edit as one JSON object, without its action.
std::string formatWorkspaceEdit(const WorkspaceEdit &Edit);
/// Parses the JSON object of an edit with \p Action. None if anything is wrong;
/// each fault is added to \p Faults.
std::optional<WorkspaceEdit>
parseWorkspaceEdit(WorkspaceAction Action, std::string_view Text,
                   std::vector<SettingFault> &Faults);

/// Makes the change of \p Edit to \p Changed. Returns why it is not possible;
/// empty if it was made. With \p IsResend, \p Changed may have the change
/// already.
std::string applyWorkspaceEdit(const WorkspaceEdit &Edit, bool IsResend,
                               Workspace &Changed);

/// A workspace as operators see it, with the first digits of its keys' digests.
boost::json::object shownWorkspaceJson(const WorkspaceItem &Item);
/// A workspace with its whole digests, for messages between processes.
boost::json::object wholeWorkspaceJson(const WorkspaceItem &Item);
/// Parses the result of wholeWorkspaceJson(); none if it is not valid.
std::optional<WorkspaceItem> parseWholeWorkspace(const boost::json::value &In);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_WORKSPACEJSON_H
