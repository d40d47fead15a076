#ifndef RAGWORTMUX_PROCESS_SUPPORT_CATALOGUEJSON_H
#define RAGWORTMUX_PROCESS_SUPPORT_CATALOGUEJSON_H

#include "ragwortmux/Process/Support/SettingFault.h"
#include "ragwortmux/Version/CatalogueEntry.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Catalogue entries as JSON text, as operators and HTTP see them.

namespace ragwortmux {

/// Largest JSON text that is read.
inline constexpr std::size_t MaxJsonBytes = 64U << 10U;

/// The bounds of the limits of an entry; times in ms.
struct EntryBounds final {
  static constexpr std::uint64_t MinConcurrent = 1;           ///< Requests.
  static constexpr std::uint64_t MaxConcurrent = 1000;        ///< Requests.
  static constexpr std::uint64_t MaxQueued = 10000;           ///< Requests.
  static constexpr std::uint64_t MinDeadlineMs = 10;          ///< 10 ms.
  static constexpr std::uint64_t MaxDeadlineMs = 600000;      ///< 10 min.
  static constexpr std::uint64_t MinAnswerBytes = 1024;       ///< 1 KiB.
  static constexpr std::uint64_t MaxAnswerBytes = 64U << 20U; ///< 64 MiB.
  static constexpr std::uint64_t MaxAgeMs = 86400000;         ///< 1 day.
};

/// The word for \p Class, such as `aged-read`.
std::string_view trafficClassName(TrafficClass Class);
/// The class that \p Word stands for.
std::optional<TrafficClass> parseTrafficClass(std::string_view Word);
/// All words for classes, for people.
std::string allowedTrafficClasses();

/// True if \p Text may name an owner.
bool isOwnerName(std::string_view Text);
/// What isOwnerName accepts, for people.
inline constexpr const char *AllowedOwnerName = "1 to 63 printable characters";

/// \p Entry as one JSON object.
std::string formatCatalogueEntry(const CatalogueEntry &Entry);

/// Parses one JSON object. `name`, `group`, `owner` and `class` are required,
/// limits that are left out have their defaults, other fields are refused.
/// None if anything is wrong; each fault is added to \p Faults.
std::optional<CatalogueEntry>
parseCatalogueEntry(std::string_view Text, std::vector<SettingFault> &Faults);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_CATALOGUEJSON_H
