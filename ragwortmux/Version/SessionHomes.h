#ifndef RAGWORTMUX_VERSION_SESSIONHOMES_H
#define RAGWORTMUX_VERSION_SESSIONHOMES_H

#include "ragwortmux/Core/Ids.h"

#include <vector>

namespace ragwortmux {

/// The hosts among which callers' session positions are kept.
///
/// A change takes two steps: while m_Preparing is not empty, positions are
/// stored and looked up under both lists, and the higher position counts.
struct SessionHomes final {
  Revision m_Revision;             ///< Rises with each step.
  std::vector<HostId> m_Active;    ///< In use; ascending.
  std::vector<HostId> m_Preparing; ///< In use too; empty when not changing.

  friend bool operator==(const SessionHomes &, const SessionHomes &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SESSIONHOMES_H
