#ifndef RAGWORTMUX_VERSION_PROXYLEASE_H
#define RAGWORTMUX_VERSION_PROXYLEASE_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace ragwortmux {

/// Bound on how far the measurements of one duration by two monotonic clocks
/// may differ.
struct DriftBound final {
  std::uint32_t m_Percent = 1; ///< Percentage of the measured duration.
  Duration m_Fixed =
      std::chrono::milliseconds(20); ///< Fixed part, added to the percentage.

  /// The maximum error of \p Measured.
  Duration of(Duration Measured) const {
    return Measured * m_Percent / 100 + m_Fixed;
  }
};

/// The lease of an entry process's control session as the entry process
/// measures it: from the sending of a renewal, minus the clock drift bound.
class ProxyLease final {
public:
  ProxyLease() = default;
  explicit ProxyLease(const DriftBound &Drift) : m_Drift(Drift) {}

  /// Called when a session was opened. Ends the lease of the previous one.
  void sessionOpened(ControlSessionId Session);
  /// Called when the session has ended. Ends the lease.
  void sessionLost();
  /// Called before a renewal is sent at \p Now. Returns its sequence number.
  std::uint64_t renewalSent(Instant Now);
  /// Called when renewal \p Sequence of \p Session was granted for \p Length.
  /// Grants of another session and unknown sequence numbers have no effect.
  /// Returns true if the lease was extended.
  bool renewalGranted(ControlSessionId Session, std::uint64_t Sequence,
                      Duration Length);

  /// The session; 0 if there is none.
  ControlSessionId session() const { return m_Session; }
  /// The lease is valid before this instant.
  Instant validUntil() const { return m_ValidUntil; }
  /// True if the lease is valid at \p Now.
  bool isValid(Instant Now) const { return Now < m_ValidUntil; }

private:
  /// Maximum number of tracked renewals without an answer; older ones are
  /// dropped.
  static constexpr std::size_t MaxOutstanding = 64;

  DriftBound m_Drift;         ///< Bound between two clocks.
  ControlSessionId m_Session; ///< The session; 0: none.
  std::uint64_t m_NextSequence =
      1; ///< Next sequence number; continues across sessions.
  std::map<std::uint64_t, Instant>
      m_SentAt;           ///< Send times of the renewals without an answer.
  Instant m_ValidUntil{}; ///< End of the lease.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_PROXYLEASE_H
