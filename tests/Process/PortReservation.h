#ifndef TESTS_PROCESS_PORTRESERVATION_H
#define TESTS_PROCESS_PORTRESERVATION_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ragwortmux {

/// Ports for the listeners of a test, reserved while this object exists.
///
/// The ports lie below the range from which the kernel takes the local ports of
/// outgoing connections, and a file lock keeps them from other tests on the
/// machine. A port that is merely free at the moment may be taken before the
/// started process listens on it.
class PortReservation final {
public:
  /// Reserves \p Count ports, MaxPorts at most.
  explicit PortReservation(std::size_t Count);
  ~PortReservation();
  PortReservation(const PortReservation &) = delete;
  PortReservation &operator=(const PortReservation &) = delete;

  /// Largest number of ports of one reservation.
  static constexpr std::size_t MaxPorts = 64;

  /// The ports; empty if all are reserved by other tests.
  const std::vector<std::uint16_t> &ports() const { return m_Ports; }

private:
  /// Locks \p Block for this process; false if another one holds it.
  bool lockBlock(unsigned Block);

  int m_Lock = -1; ///< Descriptor of the locked file; -1: none.
  std::vector<std::uint16_t> m_Ports; ///< See ports().
};

} // namespace ragwortmux

#endif // TESTS_PROCESS_PORTRESERVATION_H
