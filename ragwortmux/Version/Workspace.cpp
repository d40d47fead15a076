#include "ragwortmux/Version/Workspace.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace ragwortmux {

namespace {

constexpr std::size_t MaxNameLength = 63;
/// Upper bound of rates and bursts; sums over a window stay far from overflow.
constexpr std::uint32_t MaxOperations = 100'000'000;

bool isValidName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), [](char Character) {
           const auto Code = static_cast<unsigned char>(Character);
           return Code > 0x20 && Code != 0x7f;
         });
}

} // namespace

std::string Workspace::validate() const {
  if (!isValidName(m_Name.value()))
    return "the workspace's name is not 1 to 63 printable characters";
  if (m_Keys.size() > MaxKeys)
    return "the workspace has too many keys";
  if (m_Limit.m_RatePerSecond > MaxOperations ||
      m_Limit.m_Burst > MaxOperations)
    return "the workspace's limit is too high";
  std::unordered_set<KeyDigest> Seen;
  for (const KeyDigest &Key : m_Keys) {
    if (Key.value().size() != KeyDigestBytes)
      return "a key digest has the wrong size";
    if (!Seen.insert(Key).second)
      return "the workspace has a key twice";
  }
  return {};
}

std::string validateWorkspaces(std::span<const Workspace> Workspaces) {
  std::unordered_set<WorkspaceId> Names;
  std::unordered_set<KeyDigest> Keys;
  for (const Workspace &Each : Workspaces) {
    if (std::string Reason = Each.validate(); !Reason.empty())
      return Reason;
    if (!Names.insert(Each.m_Name).second)
      return "two workspaces have the same name";
    for (const KeyDigest &Key : Each.m_Keys) {
      if (!Keys.insert(Key).second)
        return "two workspaces share a key";
    }
  }
  return {};
}

} // namespace ragwortmux
