#ifndef RAGWORTMUX_VERSION_CATALOGUECACHE_H
#define RAGWORTMUX_VERSION_CATALOGUECACHE_H

#include "ragwortmux/Version/CatalogueRecords.h"

#include <functional>
#include <map>
#include <memory>

namespace ragwortmux {

/// The catalogue as an entry process knows it. Never goes back to an earlier
/// revision.
class CatalogueCache final {
public:
  /// Takes what changed. False, with nothing changed, if \p Delta is not newer
  /// or does not join what is known.
  bool apply(const CatalogueDelta &Delta);

  /// The entry \p Name; null if there is none.
  std::shared_ptr<const CatalogueEntry> find(const EntryName &Name) const;

  /// True once control has told a catalogue that has ever held an entry.
  bool isKnown() const { return m_Revision > Revision(); }
  /// The newest revision known.
  Revision revision() const { return m_Revision; }
  /// The number of entries.
  std::size_t size() const { return m_Entries.size(); }

private:
  Revision m_Revision; ///< The newest revision known.
  std::map<EntryName, std::shared_ptr<const CatalogueEntry>>
      m_Entries; ///< Entries by name.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CATALOGUECACHE_H
