#ifndef RAGWORTMUX_VERSION_CATALOGUEPROGRESSLOG_H
#define RAGWORTMUX_VERSION_CATALOGUEPROGRESSLOG_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <cstddef>
#include <optional>
#include <string>

namespace ragwortmux {

/// Writes for each revision of the catalogue how long it took until all
/// sessions had it, and once if some still lack it after a limit.
///
/// At most two lines a revision, however many sessions there are.
class CatalogueProgressLog final {
public:
  /// How many sessions have the newest revision.
  struct Progress final {
    Revision m_Newest;           ///< Newest revision of the catalogue.
    std::size_t m_Confirmed = 0; ///< Sessions that have confirmed it.
    std::size_t m_Sessions = 0;  ///< All open sessions.
  };

  /// \p Limit is the time after which missing confirmations are reported.
  explicit CatalogueProgressLog(Duration Limit) : m_Limit(Limit) {}

  void reset();
  /// False if update() would return nothing, because all sessions are known to
  /// have \p Newest.
  bool isWaiting(Revision Newest) const {
    return Newest > m_Revision || !m_IsComplete;
  }
  /// Returns the line to write now, if there is one. Time counts from the
  /// first call with a revision.
  std::optional<std::string> update(const Progress &Now, Instant At);

private:
  const Duration m_Limit;    ///< See the constructor.
  Revision m_Revision;       ///< The newest revision so far.
  Instant m_Since{};         ///< When it was first seen.
  bool m_IsComplete = true;  ///< All sessions have it.
  bool m_IsReported = false; ///< That some lack it was written.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CATALOGUEPROGRESSLOG_H
