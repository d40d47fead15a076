#ifndef TESTS_STANDIN_PGFRONTENDBYTES_H
#define TESTS_STANDIN_PGFRONTENDBYTES_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// \file
/// Encodes client messages of the PostgreSQL wire protocol, for tests and for
/// the replication stream.

namespace ragwortmux {

/// Protocol version 3.0, and the request codes that can stand in its place in
/// the first packet of a connection.
inline constexpr std::uint32_t PgVersion3 = 3 << 16;
inline constexpr std::uint32_t PgCancelCode = 80877102;
inline constexpr std::uint32_t PgSslCode = 80877103;
inline constexpr std::uint32_t PgGssEncCode = 80877104;

/// A 32-bit integer in network byte order.
std::string pgUint32Bytes(std::uint32_t Value);
/// The strings, each with a terminating zero byte.
std::string pgStringBytes(std::initializer_list<std::string_view> Strings);
/// A packet without a type byte: its length, \p Code and \p Body.
std::string pgStartupBytes(std::uint32_t Code, const std::string &Body);
/// A message: its type byte, its length and \p Body.
std::string pgMessageBytes(char Type, const std::string &Body);

} // namespace ragwortmux

#endif // TESTS_STANDIN_PGFRONTENDBYTES_H
