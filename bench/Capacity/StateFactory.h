#ifndef BENCH_CAPACITY_STATEFACTORY_H
#define BENCH_CAPACITY_STATEFACTORY_H

#include "ragwortmux/Version/ControlState.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// How large a ControlState is.
struct StateSizes final {
  std::uint32_t m_Groups = 0;   ///< Groups of three servers.
  std::uint32_t m_Sessions = 0; ///< Entry processes.
  std::uint32_t m_Entries = 0;  ///< Catalogue entries.
  std::uint32_t m_Keys = 0;     ///< Keyed requests that have run.
};

/// Fills a state: every group has a primary and two in-sync replicas, and
/// up to 16 sessions hold shares of two connections to each server.
void fillState(ControlState &State, const StateSizes &Sizes);

///@name The parts of such a state
GroupId groupOf(std::uint32_t Group);
ServerId serverOf(std::uint32_t Server);
CatalogueEntry entryOf(std::uint32_t Entry, std::uint32_t Group);
RequestKey keyOf(std::uint32_t Key);
OpenSession openingOf(std::uint32_t Host);
RegisterServer registrationOf(std::uint32_t Group, std::uint32_t Server);

/// Servers of each group.
constexpr std::uint32_t ServersPerGroup = 3;
/// The log's time of such a state.
constexpr WallTime StateTime{std::chrono::hours(500000)};

} // namespace ragwortmux

#endif // BENCH_CAPACITY_STATEFACTORY_H
