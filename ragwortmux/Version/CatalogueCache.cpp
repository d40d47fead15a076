#include "ragwortmux/Version/CatalogueCache.h"

namespace ragwortmux {

bool CatalogueCache::apply(const CatalogueDelta &Delta) {
  if (Delta.m_Revision <= m_Revision) {
    return false;
  }
  // A delta from a later revision would leave a gap.
  if (!Delta.m_IsWhole && Delta.m_From > m_Revision) {
    return false;
  }
  if (Delta.m_IsWhole) {
    m_Entries.clear();
  }
  for (const CatalogueDeletion &Deletion : Delta.m_Deletions) {
    m_Entries.erase(Deletion.m_Name);
  }
  for (const CatalogueItem &Item : Delta.m_Items) {
    m_Entries[Item.m_Entry.m_Name] =
        std::make_shared<const CatalogueEntry>(Item.m_Entry);
  }
  applyWorkspaces(Delta);
  m_Revision = Delta.m_Revision;
  return true;
}

void CatalogueCache::applyWorkspaces(const CatalogueDelta &Delta) {
  if (Delta.m_IsWhole) {
    m_Workspaces.clear();
    m_Holders.clear();
  }
  for (const WorkspaceDeletion &Deletion : Delta.m_WorkspaceDeletions) {
    releaseKeys(Deletion.m_Name);
    m_Workspaces.erase(Deletion.m_Name);
  }
  // A key may move from one changed workspace to another, so all of them
  // release their old keys first.
  for (const WorkspaceItem &Item : Delta.m_Workspaces) {
    releaseKeys(Item.m_Workspace.m_Name);
  }
  for (const WorkspaceItem &Item : Delta.m_Workspaces) {
    const auto Changed = std::make_shared<const Workspace>(Item.m_Workspace);
    m_Workspaces[Changed->m_Name] = Changed;
    for (const KeyDigest &Key : Changed->m_Keys) {
      m_Holders[Key] = Changed;
    }
  }
}

void CatalogueCache::releaseKeys(const WorkspaceId &Name) {
  const auto Found = m_Workspaces.find(Name);
  if (Found == m_Workspaces.end()) {
    return;
  }
  for (const KeyDigest &Key : Found->second->m_Keys) {
    m_Holders.erase(Key);
  }
}

std::shared_ptr<const Workspace>
CatalogueCache::findWorkspace(const KeyDigest &Key) const {
  const auto Found = m_Holders.find(Key);
  return Found == m_Holders.end() ? nullptr : Found->second;
}

std::shared_ptr<const Workspace>
CatalogueCache::workspace(const WorkspaceId &Name) const {
  const auto Found = m_Workspaces.find(Name);
  return Found == m_Workspaces.end() ? nullptr : Found->second;
}

std::shared_ptr<const CatalogueEntry>
CatalogueCache::find(const EntryName &Name) const {
  const auto Found = m_Entries.find(Name);
  return Found == m_Entries.end() ? nullptr : Found->second;
}

std::set<GroupId> CatalogueCache::keyedGroups() const {
  std::set<GroupId> Groups;
  for (const auto &[Name, Entry] : m_Entries) {
    if (Entry->m_RequiresKey)
      Groups.insert(Entry->m_Group);
  }
  return Groups;
}

std::set<GroupId> CatalogueCache::groups() const {
  std::set<GroupId> Groups;
  for (const auto &[Name, Entry] : m_Entries)
    Groups.insert(Entry->m_Group);
  return Groups;
}

} // namespace ragwortmux
