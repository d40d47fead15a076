#include "bench/Capacity/WorkspaceSlopes.h"

#include "bench/Capacity/SlopeTable.h"
#include "bench/Capacity/TimedCall.h"
#include "ragwortmux/Process/Support/DigestKey.h"
#include "ragwortmux/Version/CatalogueCache.h"

#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace ragwortmux {

namespace {

constexpr std::uint32_t LookUps = 1'000'000;
constexpr double NanosecondsPerMicrosecond = 1000;

std::string makeKeyText(std::uint32_t Index) {
  return "key-of-workspace-" + std::to_string(Index) + "-0123456789";
}

WorkspaceId makeName(std::uint32_t Index) {
  return WorkspaceId("workspace-" + std::to_string(Index));
}

CatalogueDelta makeDelta(std::uint32_t Count) {
  CatalogueDelta Delta;
  Delta.m_IsWhole = true;
  Delta.m_Revision = Revision(Count);
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    Workspace Made;
    Made.m_Name = makeName(Index);
    Made.m_Keys = {digestKey(makeKeyText(Index))};
    Made.m_Limit = {50, 10};
    Delta.m_Workspaces.push_back({Revision(Index + 1), std::move(Made)});
  }
  return Delta;
}

/// Mean time in ns of one call of \p LookUp for the numbers \p Order, which are
/// repeated as often as needed.
double measureLookUp(const std::vector<std::uint32_t> &Order,
                     const std::function<bool(std::uint32_t)> &LookUp) {
  std::uint32_t Found = 0;
  const double Micros = measureMicroseconds([&] {
    for (std::uint32_t Call = 0; Call < LookUps; ++Call) {
      Found += LookUp(Order[Call % Order.size()]) ? 1 : 0;
    }
  });
  // The use of Found keeps the compiler from leaving the look-ups out.
  return Found > LookUps ? 0 : Micros * NanosecondsPerMicrosecond / LookUps;
}

std::vector<double> measureWorkspaces(std::uint32_t Count) {
  std::vector<KeyDigest> Keys;
  std::vector<KeyDigest> UnknownKeys;
  std::vector<WorkspaceId> Names;
  std::vector<std::uint32_t> Order;
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    Keys.push_back(digestKey(makeKeyText(Index)));
    UnknownKeys.push_back(digestKey(makeKeyText(Count + Index)));
    Names.push_back(makeName(Index));
    Order.push_back(Index);
  }
  std::ranges::shuffle(Order, std::mt19937(Count));
  CatalogueDelta Delta = makeDelta(Count);
  const std::size_t Before = mallinfo2().uordblks;
  CatalogueCache Cache;
  const double ApplyMicros = measureMicroseconds([&] { Cache.apply(Delta); });
  const std::size_t After = mallinfo2().uordblks;
  return {static_cast<double>(After - Before),
          ApplyMicros / 1000,
          measureLookUp(Order,
                        [&](std::uint32_t Index) {
                          return Cache.findWorkspace(Keys[Index]) != nullptr;
                        }),
          measureLookUp(Order,
                        [&](std::uint32_t Index) {
                          return Cache.findWorkspace(UnknownKeys[Index]) !=
                                 nullptr;
                        }),
          measureLookUp(Order,
                        [&](std::uint32_t Index) {
                          return Cache.workspace(Names[Index]) != nullptr;
                        }),
          measureLookUp(Order, [&](std::uint32_t Index) {
            return digestKey(Names[Index].value()) == Keys[Index];
          })};
}

} // namespace

void printWorkspaceSlopes() {
  SlopeTable Table(
      "CatalogueCache by workspaces with one key each", "workspaces",
      {"memory, bytes", "whole update applied, ms", "look-up by key, ns",
       "unknown key, ns", "look-up by name, ns", "digest of a key, ns"});
  for (const std::uint32_t Count : {1000U, 25'000U, 50'000U, 100'000U}) {
    Table.add(Count, measureWorkspaces(Count));
  }
  Table.print();
}

} // namespace ragwortmux
