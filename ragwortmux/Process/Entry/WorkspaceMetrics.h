#ifndef RAGWORTMUX_PROCESS_ENTRY_WORKSPACEMETRICS_H
#define RAGWORTMUX_PROCESS_ENTRY_WORKSPACEMETRICS_H

#include "ragwortmux/Core/Ids.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace ragwortmux {

class Metrics;

/// Number of callers of each workspace.
using WorkspaceCounts = std::map<WorkspaceId, std::size_t>;

/// Updates the metrics by workspace. There may be 100,000 workspaces, so only
/// those with most callers have a label of their own.
class WorkspaceMetrics final {
public:
  /// Number of workspaces with a label of their own.
  static constexpr std::size_t MaxShown = 8;
  /// Number of workspaces whose refused keys are counted under their own label,
  /// over the life of the process: counters cannot be taken back.
  static constexpr std::size_t MaxCounted = 32;
  /// Labels of the rest; names of workspaces have no blanks.
  static constexpr const char *AllOthers = "all others";
  static constexpr const char *NoWorkspace = "no workspace";

  explicit WorkspaceMetrics(Metrics &ProcessMetrics)
      : m_Metrics(ProcessMetrics) {}

  /// Sets the present number of callers of each workspace.
  void setCallers(const WorkspaceCounts &Callers);
  /// Counts a caller whose key is not held by a workspace, but was held by \p
  /// Previous until now; empty for a caller that connects.
  void countRefusedKey(const WorkspaceId &Previous);

private:
  std::string refusalLabel(const WorkspaceId &Previous);

  Metrics &m_Metrics;              ///< The process's metrics.
  std::set<WorkspaceId> m_Shown;   ///< Workspaces with most callers.
  std::set<WorkspaceId> m_Counted; ///< Workspaces with refusals of their own.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_WORKSPACEMETRICS_H
