#ifndef RAGWORTMUX_PROCESS_LOG_BYTECODEC_H
#define RAGWORTMUX_PROCESS_LOG_BYTECODEC_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace ragwortmux {

/// Serializes little-endian numbers and length-prefixed strings.
class ByteWriter final {
public:
  /// Writes 1 byte.
  void u8(std::uint8_t Value) { number(Value, sizeof(Value)); }
  /// Writes 4 bytes.
  void u32(std::uint32_t Value) { number(Value, sizeof(Value)); }
  /// Writes 8 bytes.
  void u64(std::uint64_t Value) { number(Value, sizeof(Value)); }
  /// Writes the bytes without their length.
  void raw(std::string_view Bytes) { m_Bytes.append(Bytes); }
  /// Writes the length in 4 bytes, then the bytes.
  void string(std::string_view Bytes) {
    u32(static_cast<std::uint32_t>(Bytes.size()));
    raw(Bytes);
  }

  const std::string &bytes() const { return m_Bytes; } ///< All bytes written.
  std::string take() { return std::move(m_Bytes); }    ///< Moves them out.

private:
  void number(std::uint64_t Value, std::size_t Size) {
    for (std::size_t Byte = 0; Byte < Size; ++Byte)
      m_Bytes.push_back(static_cast<char>(Value >> (Byte * 8) & 0xFF));
  }

  std::string m_Bytes; ///< See bytes().
};

/// Deserializes data written by ByteWriter. After a read past the end, all
/// reads return zero or an empty string and isOk() is false.
class ByteReader final {
public:
  explicit ByteReader(std::string_view Bytes) : m_Bytes(Bytes) {}

  /// Reads 1 byte.
  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  /// Reads 4 bytes.
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  /// Reads 8 bytes.
  std::uint64_t u64() { return number(8); }
  /// Reads a length in 4 bytes, then that many bytes.
  std::string string() { return std::string(raw(u32())); }

  bool isOk() const { return m_IsOk; } ///< True if no read went past the end.
  /// True if all bytes were read and no read went past the end.
  bool isAtEnd() const { return m_IsOk && m_Bytes.empty(); }

private:
  std::string_view raw(std::size_t Size) {
    if (Size > m_Bytes.size()) {
      m_IsOk = false;
      m_Bytes = {};
      return {};
    }
    const std::string_view Taken = m_Bytes.substr(0, Size);
    m_Bytes.remove_prefix(Size);
    return Taken;
  }

  std::uint64_t number(std::size_t Size) {
    const std::string_view Taken = raw(Size);
    std::uint64_t Value = 0;
    for (std::size_t Byte = 0; Byte < Taken.size(); ++Byte)
      Value |=
          static_cast<std::uint64_t>(static_cast<std::uint8_t>(Taken[Byte]))
          << (Byte * 8);
    return Value;
  }

  std::string_view m_Bytes; ///< Bytes not read yet.
  bool m_IsOk = true;       ///< See isOk().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_BYTECODEC_H
