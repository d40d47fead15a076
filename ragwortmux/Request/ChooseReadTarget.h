#ifndef RAGWORTMUX_REQUEST_CHOOSEREADTARGET_H
#define RAGWORTMUX_REQUEST_CHOOSEREADTARGET_H

#include "ragwortmux/Core/Ids.h"

#include <cstdint>
#include <optional>
#include <span>

namespace ragwortmux {

/// A server to choose from in chooseReadTarget().
struct ReadTarget final {
  ServerId m_Server;     ///< The server.
  bool m_IsNear = false; ///< It is in this host's failure domain.
  bool m_IsPrimary =
      false; ///< It is the primary, the only server that runs writes.
  bool m_IsAllowed = false;    ///< Its data is, or may be, recent enough.
  std::uint32_t m_Free = 0;    ///< Number of free connections.
  std::uint32_t m_Running = 0; ///< Statements of this host running on it.
  std::uint32_t m_Slots = 1;   ///< Statements that it can run at the same time.
  bool m_IsFull = false;       ///< Not allowed for a moment, only because it
                               ///< had no free slot.
  bool m_CanOpen = false;      ///< A connection to it could be opened now.
};

/// Chooses the server for a read; none if this host has no free connection to
/// an allowed one.
///
/// Load pattern: every entry host sends most of its reads to a few slots that
/// all hosts share. A server in the same failure domain is preferred, because
/// links between failure domains are slow and expensive. Each statement of this
/// host that runs on a server adds to its cost, and so does being the primary,
/// so that reads spill over to other servers before they queue, and writes keep
/// their slots.
std::optional<ServerId> chooseReadTarget(std::span<const ReadTarget> Targets);

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_CHOOSEREADTARGET_H
