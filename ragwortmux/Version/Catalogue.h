#ifndef RAGWORTMUX_VERSION_CATALOGUE_H
#define RAGWORTMUX_VERSION_CATALOGUE_H

#include "ragwortmux/Version/CatalogueRecords.h"
#include "ragwortmux/Version/ControlResult.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace ragwortmux {

struct DeleteEntry;
struct PutEntry;
struct ReplaceCatalogue;

/// The catalogue: compare-and-set on each entry's revision, idempotent by
/// change id.
///
/// A resend of an accepted change gets the first answer as long as its id is
/// among the last Settings::m_RememberedChanges accepted changes; an older
/// resend is refused as a conflict, because the entry's revision has moved on.
class Catalogue final {
public:
  /// Bounds of the catalogue.
  struct Settings final {
    std::size_t m_MaxEntries = 10000;         ///< Entries at once.
    std::size_t m_RememberedChanges = 1024;   ///< Change ids kept.
    std::size_t m_HistoryPerEntry = 16;       ///< Changes kept per name.
    std::size_t m_RememberedDeletions = 1024; ///< Deletions kept for deltas.
  };

  explicit Catalogue(const Settings &Bounds) : m_Settings(Bounds) {}

  /// Creates or replaces an entry at log time \p Now.
  ControlResult put(const PutEntry &Command, WallTime Now);
  /// Deletes an entry at log time \p Now.
  ControlResult erase(const DeleteEntry &Command, WallTime Now);

  /// Replaces all entries. Only those that differ get a new revision, so that
  /// deltas stay small.
  ControlResult replace(const ReplaceCatalogue &Command);

  CatalogueData exportData() const;
  void importData(const CatalogueData &Data);

  /// The revision of the last change.
  Revision revision() const { return m_Revision; }
  /// The operator's version of the whole; 0 if it was never replaced.
  CatalogueVersion version() const { return m_Version; }
  /// What the operator sent under version().
  const std::string &document() const { return m_Document; }
  /// What operators state about \p Group, or null.
  const GroupPolicy *policy(const GroupId &Group) const;
  /// The entry \p Name, or null.
  const CatalogueItem *find(const EntryName &Name) const;
  /// Calls \p Visit for each entry by name.
  void
  forEachEntry(const std::function<void(const CatalogueItem &)> &Visit) const;
  /// Calls \p Visit for each kept change of \p Name, oldest first.
  void forEachChange(
      const EntryName &Name,
      const std::function<void(const CatalogueChange &)> &Visit) const;
  /// Everything that changed after revision \p From; the whole catalogue if
  /// that is 0 or the deletions since are not all kept.
  CatalogueDelta deltaSince(Revision From) const;

  /// Why \p Entry is not valid; empty if it is.
  static std::string validate(const CatalogueEntry &Entry);

private:
  std::optional<ControlResult> checkChange(const CatalogueChange &Change) const;
  std::optional<ControlResult> checkRevision(const EntryName &Name,
                                             Revision Expected) const;
  ControlResult record(CatalogueChange Change);
  void forgetOld(const EntryName &Name);
  void forgetDeletions();
  void removeUnlisted(const std::vector<CatalogueEntry> &Listed);

  Settings m_Settings;                        ///< The bounds.
  Revision m_Revision;                        ///< The last change.
  std::map<EntryName, CatalogueItem> m_Items; ///< The entries.
  std::map<EntryName, std::deque<CatalogueChange>>
      m_History;                        ///< The last changes of each name.
  std::deque<CatalogueChange> m_Recent; ///< Changes whose ids are remembered.
  std::deque<CatalogueDeletion> m_Deletions; ///< Kept deletions, oldest first.
  Revision m_ForgottenDeletion;      ///< The newest deletion not kept any more.
  CatalogueVersion m_Version;        ///< See version().
  std::string m_Document;            ///< See document().
  std::vector<GroupPolicy> m_Groups; ///< Policies of groups.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CATALOGUE_H
