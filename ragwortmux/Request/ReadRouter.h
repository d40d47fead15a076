#ifndef RAGWORTMUX_REQUEST_READROUTER_H
#define RAGWORTMUX_REQUEST_READROUTER_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/LogPoint.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortmux {

/// A server to choose from for a read.
struct ReadCandidate final {
  ServerId m_Server;        ///< The server.
  bool m_IsPrimary = false; ///< It is the primary of the view.
  bool m_IsNear = false;    ///< It is in this proxy's failure domain.
  bool m_Reachable =
      true; ///< The last attempt to open a connection did not fail.
  std::optional<LogPoint> m_Applied; ///< Last known applied log position.
  std::optional<Duration>
      m_Age; ///< Upper limit of its data age; none if unknown.
  std::uint32_t m_Free =
      0; ///< Number of statements that could be sent to it now.
  std::uint32_t m_Running = 0; ///< Number of running statements.
};

/// Requirements of a read.
struct ReadRequirements final {
  std::optional<LogPoint> m_Token; ///< Log position that the server must cover.
  std::optional<Duration> m_MaxAge; ///< Maximum data age; none: any age.
  bool m_OnlyPrimary = false; ///< Only the primary is known to cover the read.
  bool m_PrimaryAllowed = false; ///< The lease covers the term, so the primary
                                 ///< has every acknowledged write.
  bool m_IsWaitOver = false; ///< The bounded wait for a replica has expired.
  std::vector<ServerId>
      m_Avoid; ///< Servers tried before; used only if there is no other.
};

/// Where a read runs or waits.
struct ReadChoice final {
  std::optional<ServerId> m_RunAt; ///< Server to run the read on now.
  std::optional<ServerId>
      m_WaitFor; ///< Otherwise the server to open a connection to.
};

/// Chooses the server for a read.
class ReadRouter final {
public:
  /// Prefers a replica that meets the requirements, then a near one, then the
  /// least loaded, then the one with the most recent data. The primary is used
  /// if no replica can serve the read, or none could within the bounded wait.
  static ReadChoice choose(const std::vector<ReadCandidate> &Candidates,
                           const ReadRequirements &Requirements);
  /// True if \p Candidate is known to meet \p Requirements.
  static bool satisfies(const ReadCandidate &Candidate,
                        const ReadRequirements &Requirements);
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_READROUTER_H
