#ifndef RAGWORTMUX_VERSION_WORKSPACE_H
#define RAGWORTMUX_VERSION_WORKSPACE_H

#include "ragwortmux/Core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace ragwortmux {

/// Rate limit of a workspace, over all entry hosts together. An operation is
/// one statement outside a transaction, or one whole transaction.
struct WorkspaceLimit final {
  std::uint32_t m_RatePerSecond = 0; ///< Operations a second; 0: no limit.
  std::uint32_t m_Burst = 0;         ///< Operations beyond the rate at once.

  friend bool operator==(const WorkspaceLimit &,
                         const WorkspaceLimit &) = default;
};

/// A customer whose callers are known by its keys and share its limit.
struct Workspace final {
  static constexpr std::size_t MaxKeys = 64;        ///< Keys of one workspace.
  static constexpr std::size_t KeyDigestBytes = 32; ///< Size of a digest.

  WorkspaceId m_Name;            ///< 1 to 63 printable characters, no blanks.
  std::vector<KeyDigest> m_Keys; ///< Digests of its keys; may be empty.
  WorkspaceLimit m_Limit;        ///< Its rate limit.

  /// Returns why the workspace is not valid; empty if it is.
  std::string validate() const;

  friend bool operator==(const Workspace &, const Workspace &) = default;
};

/// Returns why \p Workspaces cannot be in force together: one of them is not
/// valid, or two share a name or a key. Empty if they can.
std::string validateWorkspaces(std::span<const Workspace> Workspaces);

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_WORKSPACE_H
