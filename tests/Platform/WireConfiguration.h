#ifndef TESTS_PLATFORM_WIRECONFIGURATION_H
#define TESTS_PLATFORM_WIRECONFIGURATION_H

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortmux::platform {

/// The body of a call that replaces the platform's configuration: for each of
/// \p Services one service that accepts \p Connections connections a server,
/// and one route of the same name for callers that read their own writes.
std::string wireConfiguration(std::uint64_t Version,
                              const std::vector<std::string> &Services,
                              std::uint32_t Connections);

} // namespace ragwortmux::platform

#endif // TESTS_PLATFORM_WIRECONFIGURATION_H
