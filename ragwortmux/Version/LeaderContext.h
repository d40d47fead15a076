#ifndef RAGWORTMUX_VERSION_LEADERCONTEXT_H
#define RAGWORTMUX_VERSION_LEADERCONTEXT_H

#include "ragwortmux/Version/ControlAction.h"
#include "ragwortmux/Version/ControlLeaderSettings.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace ragwortmux {

class ControlState;

/// The context that the parts of the control leader share: the applied state,
/// the settings and the actions to execute.
class LeaderContext final {
public:
  LeaderContext(const ControlState &State,
                const ControlLeaderSettings &Settings)
      : m_State(State), m_Settings(Settings) {}

  /// Discards actions and pending proposals.
  void reset();
  /// Proposes \p Command unless an equal one is pending. Proposes a pending one
  /// again after ControlLeaderSettings::m_ProposeRetry.
  void propose(const ControlCommand &Command, Instant Now);
  /// Called after \p Command has been applied; it is no longer pending.
  void applied(const ControlCommand &Command);
  /// Adds an action.
  void addAction(ControlAction Action) {
    m_Actions.push_back(std::move(Action));
  }
  /// Adds a line to the time line.
  void addTimelineLine(std::string Text) {
    addAction(WriteTimelineLine{std::move(Text)});
  }
  /// Returns and removes the actions added since the last call.
  std::vector<ControlAction> takeActions();

  const ControlState &state() const { return m_State; }
  const ControlLeaderSettings &settings() const { return m_Settings; }

private:
  /// A command that waits for its result.
  struct Pending final {
    ControlCommand m_Command; ///< The command.
    Instant m_At;             ///< When it was last proposed.
  };

  /// The entry of m_Pending with \p Command, or the end.
  std::unordered_multimap<std::size_t, Pending>::iterator
  findPending(const ControlCommand &Command);

  const ControlState &m_State;            ///< The applied state.
  const ControlLeaderSettings m_Settings; ///< The settings.
  std::vector<ControlAction> m_Actions;   ///< Actions to execute, in order.
  std::unordered_multimap<std::size_t, Pending>
      m_Pending; ///< Proposals without a result, by hash.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_LEADERCONTEXT_H
