#ifndef RAGWORTMUX_VERSION_LEADERCONTEXT_H
#define RAGWORTMUX_VERSION_LEADERCONTEXT_H

#include "ragwortmux/Version/ControlAction.h"
#include "ragwortmux/Version/ControlLeaderSettings.h"

#include <string>
#include <vector>

namespace ragwortmux {

class ControlState;

/// What the parts of the control leader share: the applied state, the settings
/// and the actions to take.
class LeaderContext final {
public:
  LeaderContext(const ControlState &State,
                const ControlLeaderSettings &Settings)
      : m_State(State), m_Settings(Settings) {}

  /// Forgets actions and pending proposals.
  void reset();
  /// Proposes \p Command, unless the same one is pending.
  void propose(const ControlCommand &Command, Instant Now);
  /// \p Command has been applied: it is pending no more.
  void applied(const ControlCommand &Command);
  /// Adds an action.
  void act(ControlAction Action) { m_Actions.push_back(std::move(Action)); }
  /// Adds a line to the time line.
  void note(std::string Text) { act(Note{std::move(Text)}); }
  /// The actions added since the last call.
  std::vector<ControlAction> takeActions();

  const ControlState &state() const { return m_State; }
  const ControlLeaderSettings &settings() const { return m_Settings; }

private:
  struct Pending final {
    ControlCommand m_Command; ///< Proposed, without a result yet.
    Instant m_At;             ///< When it was proposed.
  };

  const ControlState &m_State;            ///< The applied state.
  const ControlLeaderSettings m_Settings; ///< The settings.
  std::vector<ControlAction> m_Actions;   ///< To be taken, in order.
  std::vector<Pending> m_Pending;         ///< Proposals without a result.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_LEADERCONTEXT_H
