#ifndef RAGWORTMUX_CONNECTION_CALLERBUDGET_H
#define RAGWORTMUX_CONNECTION_CALLERBUDGET_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// Decides which callers a process stops reading from and which it closes.
///
/// Load pattern: thousands of callers, most of them idle. Some send many or
/// large messages at once, send ahead without reading their answers, send or
/// read very slowly, or stop half-way.

namespace ragwortmux {

/// Limits of CallerBudget.
struct CallerBudgetSettings final {
  std::size_t m_ProcessBytes = 24UL << 20U; ///< Held for all callers.
  std::size_t m_ConnectionBytes =
      (4UL << 20U) + 65536; ///< Held for one caller.
  std::size_t m_WorkspaceBytes =
      12UL << 20U;                 ///< Held for the callers of one workspace.
  std::size_t m_MaxPipelined = 64; ///< Unanswered statements of one caller.
  std::size_t m_MaxStarting =
      512; ///< Callers that have not completed their startup.
  Duration m_Grace = std::chrono::seconds(
      5); ///< Time under pressure before the largest callers are closed.
  Duration m_MessageTimeout =
      std::chrono::seconds(60); ///< Time for a message's arrival.
  Duration m_AnswerTimeout =
      std::chrono::seconds(60); ///< Time for written bytes to be taken.
};

/// A limit that callers can reach.
enum class CallerLimit : std::uint8_t {
  ProcessBytes,    ///< CallerBudgetSettings::m_ProcessBytes.
  ConnectionBytes, ///< CallerBudgetSettings::m_ConnectionBytes.
  WorkspaceBytes,  ///< CallerBudgetSettings::m_WorkspaceBytes.
  Pipelined,       ///< CallerBudgetSettings::m_MaxPipelined.
  Starting,        ///< CallerBudgetSettings::m_MaxStarting.
  MessageTime,     ///< CallerBudgetSettings::m_MessageTimeout.
  AnswerTime,      ///< CallerBudgetSettings::m_AnswerTimeout.
  LargestClosed,   ///< CallerBudgetSettings::m_Grace.
};

/// What the process holds for one caller.
struct CallerUsage final {
  std::size_t m_InputBytes =
      0; ///< Received and not answered yet, and the session's state.
  std::size_t m_OutputBytes = 0;    ///< Written and not sent yet.
  std::size_t m_Statements = 0;     ///< Received and not answered yet.
  std::uint64_t m_MessagesRead = 0; ///< Whole messages received so far.
  std::uint64_t m_WritesDone = 0;   ///< Writes handed to the kernel so far.
  bool m_HasPartialMessage = false; ///< A message is received only in part.
  bool m_HasStarted = false;        ///< The startup message is complete.
  WorkspaceId m_Workspace;          ///< Empty: none, or not known yet.

  std::size_t bytes() const { return m_InputBytes + m_OutputBytes; }
};

/// A caller to close, and why.
struct CallerToClose final {
  CallerConnectionId m_Caller; ///< The caller.
  CallerLimit m_Limit;         ///< The limit that it has reached.
  std::size_t m_Bytes = 0;     ///< What the process held for it.
};

/// Counts what a process holds for its callers. A caller that holds too much is
/// not read from until it holds less; see mayRead(). While the process is under
/// pressure, callers that hold little are still read from, and one caller at a
/// time may complete its message, so that messages of well-behaved callers that
/// arrive at the same time do not block each other.
class CallerBudget final {
public:
  /// The process is under pressure from this part of its budget on; only
  /// callers that hold at most SmallCallerBytes are read from then.
  static constexpr std::size_t PressurePercent = 75;
  static constexpr std::size_t SmallCallerBytes = 16384;
  /// Callers that have connected within this time are not closed for
  /// m_MaxStarting, so that many clients can reconnect at the same time.
  static constexpr Duration StartingGrace = std::chrono::seconds(1);

  explicit CallerBudget(CallerBudgetSettings Settings);

  ///@name Events
  void add(CallerConnectionId Caller, Instant Now);
  void remove(CallerConnectionId Caller, Instant Now);
  void update(CallerConnectionId Caller, const CallerUsage &Usage, Instant Now);

  ///@name Decisions
  /// The limit because of which \p Caller must not be read from at the moment;
  /// none if it may. A caller that may not is listed by takeReadable() later.
  std::optional<CallerLimit> mayRead(CallerConnectionId Caller, Instant Now);
  /// The callers that mayRead() has refused and that may be read from again.
  std::vector<CallerConnectionId> takeReadable(Instant Now);
  /// The callers to close: those whose time is over, the oldest of too many
  /// that have not started, and, after the grace time, the largest.
  std::vector<CallerToClose> takeExpired(Instant Now);

  ///@name Getters
  std::size_t bytes() const { return m_Bytes; }
  std::size_t starting() const { return m_Starting; }
  bool isUnderPressure() const;
  /// True if mayRead() has refused \p Caller since it was last read from.
  bool isWaiting(CallerConnectionId Caller) const {
    return m_Waiting.contains(Caller);
  }

private:
  struct Caller final {
    CallerUsage m_Usage;      ///< As last reported.
    Instant m_AddedAt{};      ///< When it connected.
    Instant m_MessageSince{}; ///< Start of the message that is arriving.
    Instant m_OutputSince{};  ///< Start of the write in progress.
    bool m_IsWaiting = false; ///< mayRead() has refused it.
  };

  std::optional<CallerLimit> decideRead(CallerConnectionId Id, Caller &Current,
                                        Instant Now);
  std::optional<CallerLimit> findLimit(const Caller &Current) const;
  void count(const CallerUsage &Usage, bool IsAdded);
  void updatePressure(Instant Now);
  void expireStarting(Instant Now, std::vector<CallerToClose> &Expired) const;
  void expireLargest(Instant Now, std::vector<CallerToClose> &Expired);

  CallerBudgetSettings m_Settings;                ///< The limits.
  std::map<CallerConnectionId, Caller> m_Callers; ///< All callers.
  std::map<WorkspaceId, std::size_t>
      m_WorkspaceBytes; ///< Held by workspace, without zeroes.
  std::set<CallerConnectionId> m_Waiting; ///< Callers that wait to be read.
  std::size_t m_Bytes = 0;                ///< Held for all callers.
  std::size_t m_Starting = 0;             ///< Callers that have not started.
  std::optional<CallerConnectionId>
      m_Completing; ///< May complete its message under pressure.
  std::optional<Instant> m_PressureSince; ///< None: not under pressure.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CALLERBUDGET_H
