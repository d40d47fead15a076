#ifndef BENCH_CAPACITY_STATEFACTORY_H
#define BENCH_CAPACITY_STATEFACTORY_H

#include "ragwortmux/Version/ControlState.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// Sizes of a ControlState.
struct StateSizes final {
  std::uint32_t m_Groups = 0;   ///< Groups with three servers each.
  std::uint32_t m_Sessions = 0; ///< Sessions of entry processes.
  std::uint32_t m_Entries = 0;  ///< Catalogue entries.
  std::uint32_t m_Keys = 0;     ///< Request keys with a recorded outcome.
};

/// Fills a state: each group has a primary and two in-sync replicas, and at
/// each server up to 16 sessions have a share of two connections.
void fillState(ControlState &State, const StateSizes &Sizes);

///@name Parts of a state filled by fillState(), by number
GroupId makeGroupId(std::uint32_t Group);
ServerId makeServerId(std::uint32_t Server);
CatalogueEntry makeEntry(std::uint32_t Entry, std::uint32_t Group);
RequestKey makeKey(std::uint32_t Key);
OpenSession makeOpenSession(std::uint32_t Host);
RegisterServer makeRegisterServer(std::uint32_t Group, std::uint32_t Server);

/// Servers of each group.
constexpr std::uint32_t ServersPerGroup = 3;
/// Log time of a state filled by fillState().
constexpr WallTime StateTime{std::chrono::hours(500000)};

} // namespace ragwortmux

#endif // BENCH_CAPACITY_STATEFACTORY_H
