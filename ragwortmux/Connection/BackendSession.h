#ifndef RAGWORTMUX_CONNECTION_BACKENDSESSION_H
#define RAGWORTMUX_CONNECTION_BACKENDSESSION_H

#include "ragwortmux/Connection/SessionState.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ragwortmux {

/// One step that brings a backend connection to a caller's session state.
struct ReplayStep final {
  /// What to do.
  enum class Kind : std::uint8_t {
    Discard,  ///< Clear all values and prepared statements.
    SetValue, ///< Set the value m_Name to m_Text.
    Prepare,  ///< Prepare m_Text under m_Name.
  };

  Kind m_Kind = Kind::Discard; ///< What to do.
  std::string m_Name;          ///< Of the value or prepared statement.
  std::string m_Text;          ///< The value or the definition.

  friend bool operator==(const ReplayStep &, const ReplayStep &) = default;
};

/// What a backend connection needs before a caller's statement may run on it.
struct ReplayPlan final {
  std::vector<ReplayStep> m_Steps; ///< In order.
  std::string m_PreparedName; ///< The name on this connection of the prepared
                              ///< statement that is needed; may be empty.
};

/// The values and prepared statements that a backend connection holds.
///
/// Prepared statements get names of the connection's own, one for each
/// definition, so that callers may share them and never collide.
class BackendSession final {
public:
  /// The steps to \p Wanted and to \p Needed, which may be null. Counts them as
  /// done: a connection on which a step failed must be closed.
  ReplayPlan plan(const SessionState &Wanted, const PreparedStatement *Needed);

  /// How many steps plan() would give.
  std::size_t distance(const SessionState &Wanted,
                       const PreparedStatement *Needed) const;

private:
  bool holdsOthers(const SessionState &Wanted) const;
  std::size_t countMissing(const SessionState &Wanted) const;

  std::map<std::string, std::string> m_Values;   ///< Values by name.
  std::map<std::string, std::string> m_Prepared; ///< Names by definition.
  std::uint64_t m_LastName = 0;                  ///< Names given so far.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_BACKENDSESSION_H
