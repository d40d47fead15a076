#ifndef RAGWORTMUX_PROCESS_LOOP_READBUFFER_H
#define RAGWORTMUX_PROCESS_LOOP_READBUFFER_H

#include <array>
#include <cstddef>
#include <span>
#include <vector>

namespace ragwortmux {

/// The read buffer of a connection: small while the connection is idle, large
/// while it receives much. Thousands of idle connections would otherwise hold
/// most of the memory of a small host.
class ReadBuffer final {
public:
  static constexpr std::size_t SmallBytes = 1024;
  static constexpr std::size_t LargeBytes = 16384;

  /// The buffer of the next read; valid until the next call of prepare().
  std::span<std::byte> prepare() {
    if (m_IsLarge) {
      m_Large.resize(LargeBytes);
      return m_Large;
    }
    m_Large = std::vector<std::byte>();
    return m_Small;
  }

  /// Chooses the size of the next buffer: large if a read has received
  /// \p Count bytes and filled the small one.
  void received(std::size_t Count) { m_IsLarge = Count >= SmallBytes; }

private:
  std::array<std::byte, SmallBytes> m_Small{}; ///< Used while idle.
  std::vector<std::byte> m_Large;              ///< Empty while idle.
  bool m_IsLarge = false;                      ///< Size of the next buffer.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOOP_READBUFFER_H
