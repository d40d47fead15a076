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

/// Role that a backend server announces for itself.
enum class AnnouncedRole : std::uint8_t {
  Primary, ///< Accepts writes.
  Replica, ///< Replicates from a primary.
};

/// One announcement of a backend server; docs/BACKEND_CONTRACT.md describes it.
struct BackendAnnouncement final {
  GroupId m_Group;          ///< Database group of the server.
  ServerId m_Server;        ///< Id of the server.
  FailureDomainId m_Domain; ///< Failure domain of the server.
  std::string m_Address;    ///< IP address.
  std::uint16_t m_Port = 0; ///< TCP port.
  AnnouncedRole m_Role = AnnouncedRole::Replica; ///< Announced role.
  Term m_Term;                                   ///< Announced term.
  LogPosition m_Position;                        ///< End of log or applied.
  std::uint32_t m_Slots = 0;       ///< Statements that it runs concurrently.
  std::uint32_t m_Connections = 0; ///< Connections that it accepts.
  bool m_Leaving = false;          ///< True if it gets no new requests.

  friend bool operator==(const BackendAnnouncement &,
                         const BackendAnnouncement &) = default;
};

/// Parses the JSON text of an announcement, at most 64 KiB. Unknown fields are
/// ignored, and `leaving` may be omitted; each fault is added to \p Faults.
std::optional<BackendAnnouncement>
parseBackendAnnouncement(std::string_view Text,
                         std::vector<SettingFault> &Faults);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_BACKENDANNOUNCEMENT_H
