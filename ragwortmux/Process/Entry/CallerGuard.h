#ifndef RAGWORTMUX_PROCESS_ENTRY_CALLERGUARD_H
#define RAGWORTMUX_PROCESS_ENTRY_CALLERGUARD_H

#include "ragwortmux/Connection/CallerBudget.h"
#include "ragwortmux/Process/Support/LimitReporter.h"

#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace ragwortmux {

class IoLoop;
class Metrics;
struct ProcessSettings;

/// What a caller's connection does when the guard has decided; called on the
/// event loop, never in a call from the connection.
struct GuardedCallerHooks final {
  std::function<void()> m_Resume; ///< Reads again.
  /// Closes the connection if the peer has closed it; called now and then while
  /// the caller is not read from, when its end is not noticed otherwise.
  std::function<void()> m_CheckPeer;
  std::function<void(std::string_view Limit)>
      m_Close; ///< Closes the connection at once.
};

/// The hooks of \p Guarded, which they do not keep alive.
template <typename Connection>
GuardedCallerHooks
guardedCallerHooks(const std::shared_ptr<Connection> &Guarded) {
  const std::weak_ptr<Connection> Weak = Guarded;
  GuardedCallerHooks Hooks;
  Hooks.m_Resume = [Weak] {
    if (const auto Target = Weak.lock()) {
      Target->resume();
    }
  };
  Hooks.m_CheckPeer = [Weak] {
    if (const auto Target = Weak.lock()) {
      Target->checkPeer();
    }
  };
  Hooks.m_Close = [Weak](std::string_view Limit) {
    if (const auto Target = Weak.lock()) {
      Target->closeForLimit(Limit);
    }
  };
  return Hooks;
}

/// Applies the decisions of CallerBudget to the connections of callers of
/// either protocol, and reports them.
class CallerGuard final {
public:
  /// \p ProcessMetrics may be null.
  CallerGuard(IoLoop &Loop, CallerBudgetSettings Settings,
              Metrics *ProcessMetrics);
  ~CallerGuard();
  CallerGuard(const CallerGuard &) = delete;
  CallerGuard &operator=(const CallerGuard &) = delete;

  void add(CallerConnectionId Caller, GuardedCallerHooks Hooks);
  void remove(CallerConnectionId Caller);
  void update(CallerConnectionId Caller, const CallerUsage &Usage);
  /// False if \p Caller must not be read from; GuardedCallerHooks::m_Resume is
  /// called later.
  bool mayRead(CallerConnectionId Caller);
  /// True if mayRead() has refused \p Caller since it was last read from.
  bool isWaiting(CallerConnectionId Caller) const;

private:
  struct State;
  std::shared_ptr<State> m_State; ///< Shared with the timer.
};

/// The limits on callers in \p Settings.
CallerBudgetSettings callerBudgetSettings(const ProcessSettings &Settings);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_CALLERGUARD_H
