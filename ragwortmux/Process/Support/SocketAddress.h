#ifndef RAGWORTMUX_PROCESS_SUPPORT_SOCKETADDRESS_H
#define RAGWORTMUX_PROCESS_SUPPORT_SOCKETADDRESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortmux {

/// An IP address and a TCP port.
struct SocketAddress final {
  std::string m_Address;    ///< IPv4 or IPv6 address, without brackets.
  std::uint16_t m_Port = 0; ///< TCP port, never 0 if parsed.

  friend bool operator==(const SocketAddress &,
                         const SocketAddress &) = default;
};

/// True if \p Text is an IPv4 or IPv6 address in numeric form.
bool isIpAddress(std::string_view Text);

/// Parses `ADDR:PORT`, with brackets around an IPv6 address; none if malformed
/// or if the port is 0.
std::optional<SocketAddress> parseSocketAddress(std::string_view Text);

/// Formats \p Endpoint as text that parseSocketAddress parses.
std::string formatSocketAddress(const SocketAddress &Endpoint);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_SOCKETADDRESS_H
