#include "tests/StandIn/PgFrontendBytes.h"

namespace ragwortmux {

namespace {

constexpr std::size_t LengthBytes = 4;

std::string withLength(const std::string &Body) {
  return pgNumberBytes(static_cast<std::uint32_t>(LengthBytes + Body.size())) +
         Body;
}

} // namespace

std::string pgNumberBytes(std::uint32_t Value) {
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
  return withLength(pgNumberBytes(Code) + Body);
}

std::string pgMessageBytes(char Type, const std::string &Body) {
  return Type + withLength(Body);
}

} // namespace ragwortmux
