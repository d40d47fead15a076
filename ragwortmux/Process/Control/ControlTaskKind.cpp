#include "ragwortmux/Process/Control/ControlTaskKind.h"

#include <array>
#include <cstddef>

namespace ragwortmux {

std::string_view controlTaskName(ControlTaskKind Kind) {
  constexpr std::array<std::string_view, 12> Names = {
      "log_message",    "tick",    "open_session", "renewal",
      "report",         "command", "query",        "confirmation",
      "backend_result", "peers",   "permits",      "identify"};
  return Names.at(static_cast<std::size_t>(Kind));
}

} // namespace ragwortmux
