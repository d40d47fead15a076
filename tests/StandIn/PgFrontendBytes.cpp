#include "tests/StandIn/PgFrontendBytes.h"

namespace ragwortmux {

namespace {

constexpr std::size_t LengthBytes = 4;

std::string prependLength(const std::string &Body) {
  return pgUint32Bytes(static_cast<std::uint32_t>(LengthBytes + Body.size())) +
         Body;
}

} // namespace

std::string pgUint32Bytes(std::uint32_t Value) {
  std::string Bytes;
  for (const unsigned Shift : {24U, 16U, 8U, 0U}) {
    Bytes.push_back(static_cast<char>(Value >> Shift & 0xFF));
  }
  return Bytes;
}

std::string pgStringBytes(std::initializer_list<std::string_view> Strings) {
  std::string Bytes;
  for (const std::string_view Text : Strings) {
    Bytes.append(Text).push_back('\0');
  }
  return Bytes;
}

std::string pgStartupBytes(std::uint32_t Code, const std::string &Body) {
  return prependLength(pgUint32Bytes(Code) + Body);
}

std::string pgMessageBytes(char Type, const std::string &Body) {
  return Type + prependLength(Body);
}

} // namespace ragwortmux
