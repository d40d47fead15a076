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
/// Conversion of catalogue entries to and from the JSON text that operators and
/// the HTTP interface use.

namespace ragwortmux {

/// Largest JSON text that is parsed, in bytes.
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

/// The name of \p Class, such as `aged-read`.
std::string_view trafficClassName(TrafficClass Class);
/// The class named \p Word; none if there is no such class.
std::optional<TrafficClass> parseTrafficClass(std::string_view Word);
/// The names of all classes, separated by commas, for messages.
std::string allowedTrafficClasses();

/// True if \p Text is a valid name of an owner.
bool isOwnerName(std::string_view Text);
/// Description of the texts that isOwnerName accepts, for messages.
inline constexpr const char *AllowedOwnerName = "1 to 63 printable characters";

/// \p Entry as one JSON object.
std::string formatCatalogueEntry(const CatalogueEntry &Entry);

/// Parses one JSON object. `name`, `group`, `owner` and `class` are required,
/// omitted limits take their defaults, and other fields are rejected. Returns
/// none if anything is wrong; each fault is added to \p Faults.
std::optional<CatalogueEntry>
parseCatalogueEntry(std::string_view Text, std::vector<SettingFault> &Faults);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_CATALOGUEJSON_H
