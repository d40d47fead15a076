#include "ragwortmux/Process/Entry/CallerGuard.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ragwortmux {

namespace {

/// Time between two checks for callers to resume or to close.
constexpr Duration CheckInterval = std::chrono::milliseconds(50);
/// Number of these until the peers of callers that are not read from are
/// checked, which costs a system call for each.
constexpr unsigned ChecksPerPeerCheck = 10;

std::string_view limitName(CallerLimit Limit) {
  switch (Limit) {
  case CallerLimit::ProcessBytes:
    return "caller_budget_bytes";
  case CallerLimit::ConnectionBytes:
    return "caller_connection_budget_bytes";
  case CallerLimit::WorkspaceBytes:
    return "caller_workspace_budget_bytes";
  case CallerLimit::Pipelined:
    return "caller_pipeline_max";
  case CallerLimit::Starting:
    return "max_starting_callers";
  case CallerLimit::MessageTime:
    return "caller_message_timeout_ms";
  case CallerLimit::AnswerTime:
    return "caller_answer_timeout_ms";
  case CallerLimit::LargestClosed:
    return "caller_budget_grace_ms";
  }
  return "";
}

} // namespace

struct CallerGuard::State final : std::enable_shared_from_this<State> {
  State(IoLoop &Loop, CallerBudgetSettings Settings, Metrics *ProcessMetrics)
      : m_Loop(Loop), m_Budget(Settings),
        m_Reporter(Part::Caller, ProcessMetrics) {}

  /// Checks while there are callers; an idle process has no timer.
  void scheduleCheck() {
    if (std::exchange(m_IsScheduled, true)) {
      return;
    }
    m_Loop.after(CheckInterval, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock()) {
        Self->m_IsScheduled = false;
        Self->check();
      }
    });
  }

  void check() {
    const Instant Now = monotonicNow();
    for (const CallerToClose &Expired : m_Budget.takeExpired(Now)) {
      const auto Found = m_Callers.find(Expired.m_Caller);
      if (Found == m_Callers.end()) {
        continue;
      }
      const std::string_view Limit = limitName(Expired.m_Limit);
      m_Reporter.report(Limit, "closed", Expired.m_Bytes, Now);
      // Closing removes the caller, and the hooks with it.
      const auto Close = Found->second.m_Close;
      Close(Limit);
    }
    for (const CallerConnectionId Caller : m_Budget.takeReadable(Now)) {
      const auto Found = m_Callers.find(Caller);
      if (Found != m_Callers.end()) {
        const auto Resume = Found->second.m_Resume;
        Resume();
      }
    }
    if (++m_Checks % ChecksPerPeerCheck == 0) {
      checkPeers();
    }
    if (!m_Callers.empty()) {
      scheduleCheck();
    }
  }

  void checkPeers() {
    std::vector<std::function<void()>> Checks;
    for (const auto &[Caller, Hooks] : m_Callers) {
      if (m_Budget.isWaiting(Caller)) {
        Checks.push_back(Hooks.m_CheckPeer);
      }
    }
    for (const auto &Check : Checks) {
      Check();
    }
  }

  IoLoop &m_Loop;           ///< The event loop.
  CallerBudget m_Budget;    ///< Decides.
  LimitReporter m_Reporter; ///< Counts and logs.
  std::map<CallerConnectionId, GuardedCallerHooks>
      m_Callers;              ///< All connections.
  unsigned m_Checks = 0;      ///< Number of calls of check().
  bool m_IsScheduled = false; ///< check() will be called.
};

CallerGuard::CallerGuard(IoLoop &Loop, CallerBudgetSettings Settings,
                         Metrics *ProcessMetrics)
    : m_State(std::make_shared<State>(Loop, Settings, ProcessMetrics)) {}

CallerGuard::~CallerGuard() = default;

void CallerGuard::add(CallerConnectionId Caller, GuardedCallerHooks Hooks) {
  m_State->m_Budget.add(Caller, monotonicNow());
  m_State->m_Callers[Caller] = std::move(Hooks);
  m_State->scheduleCheck();
}

void CallerGuard::remove(CallerConnectionId Caller) {
  m_State->m_Budget.remove(Caller, monotonicNow());
  m_State->m_Callers.erase(Caller);
}

void CallerGuard::update(CallerConnectionId Caller, const CallerUsage &Usage) {
  m_State->m_Budget.update(Caller, Usage, monotonicNow());
}

bool CallerGuard::mayRead(CallerConnectionId Caller) {
  const Instant Now = monotonicNow();
  const bool WasWaiting = m_State->m_Budget.isWaiting(Caller);
  const auto Limit = m_State->m_Budget.mayRead(Caller, Now);
  if (Limit && !WasWaiting) {
    m_State->m_Reporter.report(limitName(*Limit), "paused",
                               m_State->m_Budget.bytes(), Now);
  }
  return !Limit;
}

bool CallerGuard::isWaiting(CallerConnectionId Caller) const {
  return m_State->m_Budget.isWaiting(Caller);
}

CallerBudgetSettings callerBudgetSettings(const ProcessSettings &Settings) {
  CallerBudgetSettings Result;
  Result.m_ProcessBytes = Settings.m_CallerBudgetBytes;
  // A message of the largest allowed size must always fit: its buffer grows to
  // up to twice its size, its statement is held while it runs, and the
  // session's state may take a quarter.
  constexpr std::size_t MessagesThatFit = 4;
  constexpr std::size_t SpareBytes = 65536;
  Result.m_ConnectionBytes = std::max<std::size_t>(
      Settings.m_CallerConnectionBudgetBytes,
      MessagesThatFit * Settings.m_MaxCallerMessageBytes + SpareBytes);
  Result.m_WorkspaceBytes = Settings.m_CallerWorkspaceBudgetBytes;
  Result.m_MaxPipelined = Settings.m_CallerPipelineMax;
  Result.m_MaxStarting = Settings.m_MaxStartingCallers;
  Result.m_Grace = Settings.m_CallerBudgetGrace;
  Result.m_MessageTimeout = Settings.m_CallerMessageTimeout;
  Result.m_AnswerTimeout = Settings.m_CallerAnswerTimeout;
  return Result;
}

} // namespace ragwortmux
