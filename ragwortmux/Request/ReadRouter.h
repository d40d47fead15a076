#ifndef RAGWORTMUX_REQUEST_READROUTER_H
#define RAGWORTMUX_REQUEST_READROUTER_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/LogPoint.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortmux {

/// A server as the choice for a read sees it.
struct ReadCandidate final {
  ServerId m_Server;                 ///< The server.
  bool m_IsPrimary = false;          ///< Primary of the view.
  bool m_IsNear = false;             ///< In this proxy's failure domain.
  bool m_Reachable = true;           ///< Its last opening did not fail.
  std::optional<LogPoint> m_Applied; ///< Last known point.
  std::optional<Duration> m_Age;     ///< How old its data is at most.
  std::uint32_t m_Free = 0;    ///< Statements that could be sent to it now.
  std::uint32_t m_Running = 0; ///< Statements that run there.
};

/// What a read needs.
struct ReadNeed final {
  std::optional<LogPoint> m_Token;  ///< To be covered.
  std::optional<Duration> m_MaxAge; ///< Oldest data; none: any age.
  bool m_OnlyPrimary = false;       ///< Nothing else is known to cover it.
  bool m_PrimaryAllowed = false; ///< The lease covers the term, so the primary
                                 ///< has everything.
  bool m_WaitedLong = false;     ///< The bounded wait for a replica is over.
  std::vector<ServerId> m_Avoid; ///< Tried already; taken only if there is no
                                 ///< other.
};

/// Where a read goes.
struct ReadChoice final {
  std::optional<ServerId> m_RunAt;   ///< Run there now.
  std::optional<ServerId> m_WaitFor; ///< Else a connection there would help.
};

/// Chooses the server of a read.
class ReadRouter final {
public:
  /// Prefers a replica that covers the need, then a near one, then the least
  /// loaded, then the youngest. The primary serves if no replica can, or none
  /// could within the bounded wait.
  static ReadChoice choose(const std::vector<ReadCandidate> &Candidates,
                           const ReadNeed &Need);
  /// True if \p Candidate is known to hold what \p Need asks for.
  static bool satisfies(const ReadCandidate &Candidate, const ReadNeed &Need);
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_READROUTER_H
