#ifndef RAGWORTMUX_PROCESS_SUPPORT_BACKENDANNOUNCEMENT_H
#define RAGWORTMUX_PROCESS_SUPPORT_BACKENDANNOUNCEMENT_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Process/Support/SettingFault.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// What a backend server says it is.
enum class AnnouncedRole : std::uint8_t {
  Primary, ///< Takes writes.
  Replica, ///< Follows a primary.
};

/// One announcement of a backend server; docs/BACKEND_CONTRACT.md describes it.
struct BackendAnnouncement final {
  GroupId m_Group;                               ///< Its group.
  ServerId m_Server;                             ///< Its id.
  FailureDomainId m_Domain;                      ///< Where it is.
  std::string m_Address;                         ///< IP number.
  std::uint16_t m_Port = 0;                      ///< TCP port.
  AnnouncedRole m_Role = AnnouncedRole::Replica; ///< What it believes it is.
  Term m_Term;                                   ///< Its term.
  LogPosition m_Position;                        ///< End of log or applied.
  std::uint32_t m_Slots = 0;       ///< Statements that it runs at once.
  std::uint32_t m_Connections = 0; ///< Connections that it takes.
  bool m_Leaving = false;          ///< Gets no new requests.

  friend bool operator==(const BackendAnnouncement &,
                         const BackendAnnouncement &) = default;
};

/// Parses the JSON text of an announcement, at most 64 KiB. Unknown fields are
/// ignored, and `leaving` may be left out; each fault is added to \p Faults.
std::optional<BackendAnnouncement>
parseBackendAnnouncement(std::string_view Text,
                         std::vector<SettingFault> &Faults);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_BACKENDANNOUNCEMENT_H
