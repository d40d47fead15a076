#ifndef RAGWORTMUX_VERSION_WORKSPACETABLE_H
#define RAGWORTMUX_VERSION_WORKSPACETABLE_H

#include "ragwortmux/Version/ControlResult.h"
#include "ragwortmux/Version/WorkspaceRecords.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ragwortmux {

struct CatalogueDelta;
struct DeleteWorkspace;
struct PutWorkspace;

/// The workspaces of the catalogue. A key belongs to at most one of them.
/// Changes compare and set a workspace's revision and are idempotent by change
/// id, like those of catalogue entries.
class WorkspaceTable final {
public:
  /// Bounds of the table.
  struct Settings final {
    std::size_t m_MaxWorkspaces = 200'000; ///< Maximum number of workspaces.
    std::size_t m_MaxRecentChanges =
        256; ///< Change ids stored to recognise resends.
    std::size_t m_MaxDeletions = 1024; ///< Deletions stored for deltas.
  };

  explicit WorkspaceTable(const Settings &Bounds) : m_Settings(Bounds) {}

  /// Creates or replaces a workspace; an accepted change gets revision \p Next.
  ControlResult put(const PutWorkspace &Command, Revision Next);
  /// Deletes a workspace; an accepted change gets revision \p Next.
  ControlResult erase(const DeleteWorkspace &Command, Revision Next);
  /// Returns why replace() would refuse \p Workspaces; empty if it would not.
  std::string checkReplacement(const std::vector<Workspace> &Workspaces) const;
  /// Replaces all workspaces. Only those that differ get revision \p Next.
  void replace(const std::vector<Workspace> &Workspaces, Revision Next);

  WorkspaceTableData exportData() const;
  void importData(const WorkspaceTableData &Data);

  /// The workspace \p Name, or null.
  const WorkspaceItem *find(const WorkspaceId &Name) const;
  /// The accepted change with id \p Change, or null if it is not stored (any
  /// more).
  const WorkspaceChange *findChange(const ChangeId &Change) const;
  /// Calls \p Visit for each workspace by name.
  void forEach(const std::function<void(const WorkspaceItem &)> &Visit) const;
  std::size_t size() const { return m_Items.size(); }
  /// True if the deletions after revision \p From are still stored.
  bool hasDeletionsSince(Revision From) const {
    return From >= m_LastPrunedDeletion;
  }
  /// Adds the changes after Delta.m_From to \p Delta.
  void addTo(CatalogueDelta &Delta) const;

private:
  std::optional<ControlResult>
  findResend(const WorkspaceChange &Requested) const;
  std::optional<ControlResult> checkRevision(const WorkspaceId &Name,
                                             Revision Expected) const;
  void store(const Workspace &Changed, Revision At);
  void remove(const WorkspaceId &Name, Revision At);
  void record(WorkspaceChange Change);

  Settings m_Settings;                          ///< The bounds.
  std::map<WorkspaceId, WorkspaceItem> m_Items; ///< The workspaces by name.
  std::unordered_map<KeyDigest, WorkspaceId>
      m_Holders; ///< Workspace that holds each key.
  std::deque<WorkspaceDeletion>
      m_Deletions; ///< Stored deletions, oldest first.
  std::deque<WorkspaceChange>
      m_RecentChanges;           ///< Latest changes, oldest first.
  Revision m_LastPrunedDeletion; ///< Revision of the latest deletion that is no
                                 ///< longer stored.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_WORKSPACETABLE_H
