#include "ragwortmux/Process/Support/SocketAddress.h"

#include "ragwortmux/Process/Support/Numbers.h"

#include <arpa/inet.h>

#include <array>
#include <limits>

namespace ragwortmux {

bool isIpAddress(std::string_view Text) {
  // inet_pton stops at a zero byte and would ignore any text after it.
  if (Text.find('\0') != std::string_view::npos)
    return false;
  const std::string Copy(Text);
  std::array<unsigned char, sizeof(in6_addr)> Binary{};
  return inet_pton(AF_INET, Copy.c_str(), Binary.data()) == 1 ||
         inet_pton(AF_INET6, Copy.c_str(), Binary.data()) == 1;
}

std::optional<SocketAddress> parseSocketAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Address = Text.substr(0, Colon);

  // Brackets separate the colons of an IPv6 address from the one before the
  // port.
  const bool HasBrackets = Address.starts_with('[') && Address.ends_with(']');
  if (HasBrackets)
    Address = Address.substr(1, Address.size() - 2);
  const bool IsIpv6 = Address.find(':') != std::string_view::npos;
  if (HasBrackets != IsIpv6 || !isIpAddress(Address))
    return std::nullopt;

  const std::optional<std::uint64_t> Port = parseNumber(
      Text.substr(Colon + 1), 1, std::numeric_limits<std::uint16_t>::max());
  if (!Port)
    return std::nullopt;
  return SocketAddress{std::string(Address), static_cast<std::uint16_t>(*Port)};
}

std::string formatSocketAddress(const SocketAddress &Endpoint) {
  const bool IsIpv6 = Endpoint.m_Address.find(':') != std::string::npos;
  const std::string Address =
      IsIpv6 ? "[" + Endpoint.m_Address + "]" : Endpoint.m_Address;
  return Address + ":" + std::to_string(Endpoint.m_Port);
}

} // namespace ragwortmux
