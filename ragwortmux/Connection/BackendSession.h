#ifndef RAGWORTMUX_CONNECTION_BACKENDSESSION_H
#define RAGWORTMUX_CONNECTION_BACKENDSESSION_H

#include "ragwortmux/Connection/SessionState.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragwortmux {

/// One step of setting up a backend connection for a caller's session state.
struct SessionStep final {
  /// Kind of step.
  enum class Kind : std::uint8_t {
    Discard,  ///< Clear all values and prepared statements.
    SetValue, ///< Set the value m_Name to m_Text.
    Prepare,  ///< Prepare m_Text under m_Name.
  };

  Kind m_Kind = Kind::Discard; ///< Kind of step.
  std::string m_Name;          ///< Name of the value or prepared statement.
  std::string m_Text;          ///< The value, or the statement's definition.

  friend bool operator==(const SessionStep &, const SessionStep &) = default;
};

/// What gives a backend connection the session that a statement needs.
struct SessionPlan final {
  std::vector<SessionStep> m_Steps; ///< Steps that must succeed before the
                                    ///< statement is sent, in order.
  std::optional<SessionStep>
      m_Prepare; ///< Step that may be sent together with the statement. Its
                 ///< name is new, so that an execution of it runs nothing if
                 ///< the step had no effect.
  std::string m_PreparedName; ///< Name that the required prepared statement has
                              ///< on this connection; empty if none is needed.
};

/// Tracks the session values and prepared statements of a backend connection
/// while they are known; docs/design/backend-session-state.md says what each
/// answer of the server means for them.
///
/// Prepared statements get a name that is private to the connection, one per
/// definition. Callers with the same definition share it, and equal names
/// chosen by different callers do not collide.
class BackendSession final {
public:
  /// Returns the steps that establish \p Target and prepare \p Required, which
  /// may be null. The steps are recorded as done, so the connection must be
  /// closed if one of them fails.
  SessionPlan plan(const SessionState &Target,
                   const PreparedStatement *Required);

  /// Number of steps that plan() would return, apart from the Discard that it
  /// adds once the connection has too many prepared statements.
  std::size_t stepCount(const SessionState &Target,
                        const PreparedStatement *Required) const;

private:
  bool hasExtraValues(const SessionState &Target) const;
  std::size_t missingValueCount(const SessionState &Target) const;

  std::map<std::string, std::string> m_Values; ///< Session values by name.
  std::map<std::string, std::string>
      m_Prepared;               ///< Private names by definition.
  std::uint64_t m_LastName = 0; ///< Number of private names assigned.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_BACKENDSESSION_H
