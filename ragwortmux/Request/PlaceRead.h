#ifndef RAGWORTMUX_REQUEST_PLACEREAD_H
#define RAGWORTMUX_REQUEST_PLACEREAD_H

#include "ragwortmux/Core/Ids.h"

#include <cstdint>
#include <optional>
#include <span>

namespace ragwortmux {

/// A server as placeRead() sees it.
struct ReadPlace final {
  ServerId m_Server;           ///< The server.
  bool m_IsNear = false;       ///< In this host's failure domain.
  bool m_IsPrimary = false;    ///< Writes have no other place.
  bool m_IsAllowed = false;    ///< Its data are, or may be, new enough.
  std::uint32_t m_Free = 0;    ///< Connections that are free now.
  std::uint32_t m_Running = 0; ///< Statements of this host that run there.
  std::uint32_t m_Slots = 1;   ///< Statements that it runs at once.
};

/// The server for a read; none if all allowed ones are busy for this host.
///
/// Load pattern: every entry host sends most of its reads to a few slots that
/// all hosts share. The nearest server comes first, because links between
/// failure domains are slow and dear; each statement of this host that runs at
/// a server counts against it, and the primary is spared, so that reads spill
/// over before they queue and writes keep their slots.
std::optional<ServerId> placeRead(std::span<const ReadPlace> Places);

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_PLACEREAD_H
