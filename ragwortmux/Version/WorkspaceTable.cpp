#include "ragwortmux/Version/WorkspaceTable.h"

#include "ragwortmux/Version/ControlCommand.h"

#include <algorithm>
#include <set>
#include <utility>

namespace ragwortmux {

namespace {

constexpr std::size_t MaxChangeIdLength = 128;

ControlResult invalid(std::string Reason) {
  return ControlResult::refused(ResultCode::CatalogueInvalid,
                                std::move(Reason));
}

bool isValidChangeId(const ChangeId &Change) {
  const std::string &Text = Change.value();
  return !Text.empty() && Text.size() <= MaxChangeIdLength;
}

/// True if \p Resent requests the same change as \p Accepted.
bool isSameChange(const WorkspaceChange &Accepted,
                  const WorkspaceChange &Resent) {
  return Accepted.m_Expected == Resent.m_Expected &&
         Accepted.m_Deleted == Resent.m_Deleted &&
         Accepted.m_Workspace == Resent.m_Workspace;
}

} // namespace

ControlResult WorkspaceTable::put(const PutWorkspace &Command, Revision Next) {
  WorkspaceChange Change;
  Change.m_Revision = Next;
  Change.m_Expected = Command.m_Expected;
  Change.m_Change = Command.m_Change;
  Change.m_Workspace = Command.m_Workspace;
  const Workspace &Requested = Command.m_Workspace;
  if (std::string Reason = Requested.validate(); !Reason.empty())
    return invalid(std::move(Reason));
  if (auto Existing = findResend(Change))
    return *Existing;
  if (auto Refusal = checkRevision(Requested.m_Name, Command.m_Expected))
    return *Refusal;
  if (find(Requested.m_Name) == nullptr &&
      m_Items.size() >= m_Settings.m_MaxWorkspaces)
    return invalid("there are too many workspaces");
  for (const KeyDigest &Key : Requested.m_Keys) {
    const auto Holder = m_Holders.find(Key);
    if (Holder != m_Holders.end() && Holder->second != Requested.m_Name)
      return invalid("another workspace holds a key of this one");
  }
  store(Requested, Next);
  record(std::move(Change));
  return ControlResult::accepted(Next);
}

ControlResult WorkspaceTable::erase(const DeleteWorkspace &Command,
                                    Revision Next) {
  WorkspaceChange Change;
  Change.m_Revision = Next;
  Change.m_Expected = Command.m_Expected;
  Change.m_Change = Command.m_Change;
  Change.m_Deleted = true;
  Change.m_Workspace.m_Name = Command.m_Name;
  if (auto Existing = findResend(Change))
    return *Existing;
  if (find(Command.m_Name) == nullptr)
    return ControlResult::refused(ResultCode::CatalogueNotFound,
                                  "there is no workspace of this name");
  if (auto Refusal = checkRevision(Command.m_Name, Command.m_Expected))
    return *Refusal;
  remove(Command.m_Name, Next);
  record(std::move(Change));
  return ControlResult::accepted(Next);
}

std::string WorkspaceTable::checkReplacement(
    const std::vector<Workspace> &Workspaces) const {
  if (Workspaces.size() > m_Settings.m_MaxWorkspaces)
    return "there are too many workspaces";
  return validateWorkspaces(Workspaces);
}

void WorkspaceTable::replace(const std::vector<Workspace> &Workspaces,
                             Revision Next) {
  std::set<WorkspaceId> Listed;
  for (const Workspace &Each : Workspaces)
    Listed.insert(Each.m_Name);
  std::vector<WorkspaceId> Unlisted;
  for (const auto &[Name, Item] : m_Items) {
    if (!Listed.contains(Name))
      Unlisted.push_back(Name);
  }
  for (const WorkspaceId &Name : Unlisted)
    remove(Name, Next);
  // A key may move from one workspace to another, so all old holders give
  // their keys up first.
  std::vector<const Workspace *> Changed;
  for (const Workspace &Each : Workspaces) {
    const WorkspaceItem *Existing = find(Each.m_Name);
    if (Existing != nullptr && Existing->m_Workspace == Each)
      continue;
    Changed.push_back(&Each);
    if (Existing == nullptr)
      continue;
    for (const KeyDigest &Key : Existing->m_Workspace.m_Keys)
      m_Holders.erase(Key);
  }
  for (const Workspace *Each : Changed)
    store(*Each, Next);
}

void WorkspaceTable::store(const Workspace &Changed, Revision At) {
  WorkspaceItem &Item = m_Items[Changed.m_Name];
  for (const KeyDigest &Key : Item.m_Workspace.m_Keys) {
    const auto Holder = m_Holders.find(Key);
    if (Holder != m_Holders.end() && Holder->second == Changed.m_Name)
      m_Holders.erase(Holder);
  }
  Item = {At, Changed};
  for (const KeyDigest &Key : Changed.m_Keys)
    m_Holders[Key] = Changed.m_Name;
}

void WorkspaceTable::remove(const WorkspaceId &Name, Revision At) {
  const auto Found = m_Items.find(Name);
  for (const KeyDigest &Key : Found->second.m_Workspace.m_Keys)
    m_Holders.erase(Key);
  m_Items.erase(Found);
  m_Deletions.push_back({At, Name});
  while (m_Deletions.size() > m_Settings.m_MaxDeletions) {
    m_LastPrunedDeletion = m_Deletions.front().m_Revision;
    m_Deletions.pop_front();
  }
}

void WorkspaceTable::record(WorkspaceChange Change) {
  m_RecentChanges.push_back(std::move(Change));
  while (m_RecentChanges.size() > m_Settings.m_MaxRecentChanges)
    m_RecentChanges.pop_front();
}

std::optional<ControlResult>
WorkspaceTable::findResend(const WorkspaceChange &Requested) const {
  if (!isValidChangeId(Requested.m_Change))
    return invalid("the change id is not 1 to 128 characters");
  const WorkspaceChange *Existing = findChange(Requested.m_Change);
  if (Existing == nullptr)
    return std::nullopt;
  if (!isSameChange(*Existing, Requested))
    return ControlResult::refused(ResultCode::BadArgument,
                                  "the change id was used for another change");
  return ControlResult::accepted(Existing->m_Revision);
}

std::optional<ControlResult>
WorkspaceTable::checkRevision(const WorkspaceId &Name,
                              Revision Expected) const {
  const WorkspaceItem *Item = find(Name);
  const Revision Current = Item == nullptr ? Revision() : Item->m_Revision;
  if (Current == Expected)
    return std::nullopt;
  ControlResult Conflict = ControlResult::refused(
      ResultCode::CatalogueConflict, "the workspace has another revision");
  Conflict.m_Revision = Current;
  return Conflict;
}

WorkspaceTableData WorkspaceTable::exportData() const {
  WorkspaceTableData Data;
  for (const auto &[Name, Item] : m_Items)
    Data.m_Items.push_back(Item);
  Data.m_Deletions.assign(m_Deletions.begin(), m_Deletions.end());
  Data.m_RecentChanges.assign(m_RecentChanges.begin(), m_RecentChanges.end());
  Data.m_LastPrunedDeletion = m_LastPrunedDeletion;
  return Data;
}

void WorkspaceTable::importData(const WorkspaceTableData &Data) {
  m_Items.clear();
  m_Holders.clear();
  for (const WorkspaceItem &Item : Data.m_Items)
    store(Item.m_Workspace, Item.m_Revision);
  m_Deletions.assign(Data.m_Deletions.begin(), Data.m_Deletions.end());
  m_RecentChanges.assign(Data.m_RecentChanges.begin(),
                         Data.m_RecentChanges.end());
  m_LastPrunedDeletion = Data.m_LastPrunedDeletion;
}

const WorkspaceItem *WorkspaceTable::find(const WorkspaceId &Name) const {
  const auto Found = m_Items.find(Name);
  return Found == m_Items.end() ? nullptr : &Found->second;
}

const WorkspaceChange *
WorkspaceTable::findChange(const ChangeId &Change) const {
  const auto Found = std::find_if(
      m_RecentChanges.begin(), m_RecentChanges.end(),
      [&](const WorkspaceChange &Recent) { return Recent.m_Change == Change; });
  return Found == m_RecentChanges.end() ? nullptr : &*Found;
}

void WorkspaceTable::forEach(
    const std::function<void(const WorkspaceItem &)> &Visit) const {
  for (const auto &[Name, Item] : m_Items)
    Visit(Item);
}

void WorkspaceTable::addTo(CatalogueDelta &Delta) const {
  for (const auto &[Name, Item] : m_Items) {
    if (Item.m_Revision > Delta.m_From)
      Delta.m_Workspaces.push_back(Item);
  }
  if (Delta.m_IsWhole)
    return;
  for (const WorkspaceDeletion &Deletion : m_Deletions) {
    if (Deletion.m_Revision > Delta.m_From && find(Deletion.m_Name) == nullptr)
      Delta.m_WorkspaceDeletions.push_back(Deletion);
  }
}

} // namespace ragwortmux
