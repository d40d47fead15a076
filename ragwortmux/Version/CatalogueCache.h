#ifndef RAGWORTMUX_VERSION_CATALOGUECACHE_H
#define RAGWORTMUX_VERSION_CATALOGUECACHE_H

#include "ragwortmux/Version/CatalogueRecords.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace ragwortmux {

/// An entry process's copy of the catalogue. Never goes back to an earlier
/// revision.
class CatalogueCache final {
public:
  /// Applies \p Delta. Returns false and changes nothing if it is not newer
  /// than revision() or starts from a later revision.
  bool apply(const CatalogueDelta &Delta);

  /// The entry \p Name; null if there is none.
  std::shared_ptr<const CatalogueEntry> find(const EntryName &Name) const;

  /// True once the cache has received a catalogue that has ever contained an
  /// entry.
  bool isKnown() const { return m_Revision > Revision(); }
  /// The latest applied revision.
  Revision revision() const { return m_Revision; }
  /// The groups that the entries name.
  std::set<GroupId> groups() const;
  /// The number of entries.
  std::size_t size() const { return m_Entries.size(); }

private:
  Revision m_Revision; ///< Latest applied revision.
  std::map<EntryName, std::shared_ptr<const CatalogueEntry>>
      m_Entries; ///< Entries by name.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CATALOGUECACHE_H
