#ifndef TESTS_STANDIN_PGFRONTENDBYTES_H
#define TESTS_STANDIN_PGFRONTENDBYTES_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// \file
/// Messages of a front end as bytes, for tests and for the replication stream.

namespace ragwortmux {

/// Codes in place of a protocol version.
inline constexpr std::uint32_t PgVersion3 = 3 << 16;
inline constexpr std::uint32_t PgCancelCode = 80877102;
inline constexpr std::uint32_t PgSslCode = 80877103;
inline constexpr std::uint32_t PgGssEncCode = 80877104;

/// Four bytes, the highest first.
std::string pgNumberBytes(std::uint32_t Value);
/// A list of zero-terminated strings.
std::string pgStringBytes(std::initializer_list<std::string_view> Strings);
/// A packet without type: its length, \p Code and \p Body.
std::string pgStartupBytes(std::uint32_t Code, const std::string &Body);
/// A message of a type.
std::string pgMessageBytes(char Type, const std::string &Body);

} // namespace ragwortmux

#endif // TESTS_STANDIN_PGFRONTENDBYTES_H
