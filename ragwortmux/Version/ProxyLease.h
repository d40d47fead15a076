#ifndef RAGWORTMUX_VERSION_PROXYLEASE_H
#define RAGWORTMUX_VERSION_PROXYLEASE_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace ragwortmux {

/// How far two monotonic clocks may run apart.
struct DriftBound final {
  std::uint32_t m_Percent = 1;                      ///< Of the measured time.
  Duration m_Fixed = std::chrono::milliseconds(20); ///< Added to it.

  /// How much \p Measured may be wrong by.
  Duration of(Duration Measured) const {
    return Measured * m_Percent / 100 + m_Fixed;
  }
};

/// The lease of an entry process's control session, as the entry measures it:
/// from the moment when the renewal was sent, less the drift bound.
class ProxyLease final {
public:
  ProxyLease() = default;
  explicit ProxyLease(const DriftBound &Drift) : m_Drift(Drift) {}

  /// A new session: the lease of the previous one is lost.
  void sessionOpened(ControlSessionId Session);
  /// The session is gone: the lease is lost.
  void sessionLost();
  /// A renewal is about to be sent at \p Now; returns its sequence number.
  std::uint64_t renewalSent(Instant Now);
  /// Renewal \p Sequence of \p Session was granted for \p Length. Grants of
  /// another session and unknown sequence numbers have no effect. Returns true
  /// if the lease was extended.
  bool renewalGranted(ControlSessionId Session, std::uint64_t Sequence,
                      Duration Length);

  /// The session; 0 if there is none.
  ControlSessionId session() const { return m_Session; }
  /// The lease covers instants before this one.
  Instant validUntil() const { return m_ValidUntil; }
  /// True if the lease covers \p Now.
  bool isValid(Instant Now) const { return Now < m_ValidUntil; }

private:
  /// Renewals without an answer that are remembered; older ones are dropped.
  static constexpr std::size_t MaxOutstanding = 64;

  DriftBound m_Drift;                        ///< Bound between two clocks.
  ControlSessionId m_Session;                ///< 0: none.
  std::uint64_t m_NextSequence = 1;          ///< Not restarted by a session.
  std::map<std::uint64_t, Instant> m_SentAt; ///< Renewals without an answer.
  Instant m_ValidUntil{};                    ///< End of the lease.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_PROXYLEASE_H
