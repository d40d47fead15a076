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
  m_Revision = Delta.m_Revision;
  return true;
}

std::shared_ptr<const CatalogueEntry>
CatalogueCache::find(const EntryName &Name) const {
  const auto Found = m_Entries.find(Name);
  return Found == m_Entries.end() ? nullptr : Found->second;
}

std::set<GroupId> CatalogueCache::groups() const {
  std::set<GroupId> Groups;
  for (const auto &[Name, Entry] : m_Entries)
    Groups.insert(Entry->m_Group);
  return Groups;
}

} // namespace ragwortmux
