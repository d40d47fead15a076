#include "ragwortmux/Process/Log/LogAction.h"

#include <array>
#include <cstddef>

namespace ragwortmux {

std::string_view leadershipLossName(LeadershipLoss Reason) {
  constexpr std::array<std::string_view, 4> Names = {
      "quorum_silent", "higher_term", "removed", "persist_failed"};
  return Names.at(static_cast<std::size_t>(Reason));
}

} // namespace ragwortmux
