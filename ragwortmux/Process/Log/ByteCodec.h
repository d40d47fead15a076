#ifndef RAGWORTMUX_PROCESS_LOG_BYTECODEC_H
#define RAGWORTMUX_PROCESS_LOG_BYTECODEC_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace ragwortmux {

/// Writes numbers, little-endian, and strings with their length.
class ByteWriter final {
public:
  void u8(std::uint8_t Value) { number(Value, sizeof(Value)); }   ///< 1 byte.
  void u32(std::uint32_t Value) { number(Value, sizeof(Value)); } ///< 4 bytes.
  void u64(std::uint64_t Value) { number(Value, sizeof(Value)); } ///< 8 bytes.
  /// The bytes alone.
  void raw(std::string_view Bytes) { m_Bytes.append(Bytes); }
  /// The length, then the bytes.
  void string(std::string_view Bytes) {
    u32(static_cast<std::uint32_t>(Bytes.size()));
    raw(Bytes);
  }

  const std::string &bytes() const { return m_Bytes; } ///< All so far.
  std::string take() { return std::move(m_Bytes); }    ///< Moves all out.

private:
  void number(std::uint64_t Value, std::size_t Size) {
    for (std::size_t Byte = 0; Byte < Size; ++Byte)
      m_Bytes.push_back(static_cast<char>(Value >> (Byte * 8) & 0xFF));
  }

  std::string m_Bytes; ///< Written so far.
};

/// Reads what ByteWriter wrote. After a read beyond the end it yields zeros and
/// ok() is false.
class ByteReader final {
public:
  explicit ByteReader(std::string_view Bytes) : m_Bytes(Bytes) {}

  /// 1 byte.
  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  /// 4 bytes.
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  /// 8 bytes.
  std::uint64_t u64() { return number(8); }
  /// The length, then the bytes.
  std::string string() { return std::string(raw(u32())); }

  bool ok() const { return m_Ok; } ///< Nothing was read beyond the end.
  /// Everything was read, and nothing beyond the end.
  bool done() const { return m_Ok && m_Bytes.empty(); }

private:
  std::string_view raw(std::size_t Size) {
    if (Size > m_Bytes.size()) {
      m_Ok = false;
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

  std::string_view m_Bytes; ///< Not read yet.
  bool m_Ok = true;         ///< See ok().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_BYTECODEC_H
