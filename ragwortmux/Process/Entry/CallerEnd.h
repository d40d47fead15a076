#ifndef RAGWORTMUX_PROCESS_ENTRY_CALLEREND_H
#define RAGWORTMUX_PROCESS_ENTRY_CALLEREND_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Request/Statement.h"

#include <cstddef>
#include <optional>
#include <string>

namespace ragwortmux {

/// The state of a caller's connection at its end.
struct CallerEnd final {
  std::string m_Reason;                   ///< Why it ended.
  std::optional<StatementId> m_Statement; ///< Statement without an answer.
  Duration m_Running{0};         ///< Time since that statement arrived.
  std::size_t m_QueuedLines = 0; ///< Received messages not handled yet.
  std::size_t m_UnreadBytes = 0; ///< Received bytes of no whole message.
  std::size_t m_UnsentBytes = 0; ///< Bytes of answers not sent yet.

  /// True if the caller misses nothing.
  bool isClean() const;
};

/// Writes a log line about \p End, unless the end is clean.
void logCallerEnd(const CallerEnd &End);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_CALLEREND_H
