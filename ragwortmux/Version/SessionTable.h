#ifndef RAGWORTMUX_VERSION_SESSIONTABLE_H
#define RAGWORTMUX_VERSION_SESSIONTABLE_H

#include "ragwortmux/Version/ControlResult.h"
#include "ragwortmux/Version/SessionRecord.h"

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace ragwortmux {

struct OpenSession;

/// The open control sessions, at most one per host.
///
/// When a restarted process opens its session, the session of the host's
/// earlier run ends.
class SessionTable final {
public:
  /// Opens a session, or returns the open one of the same host and incarnation.
  ControlResult open(const OpenSession &Command);
  /// Ends \p Session. Has no effect if it is not open.
  ControlResult end(ControlSessionId Session);

  void importData(ControlSessionId Last,
                  const std::vector<SessionRecord> &Sessions);

  /// The last session id that was assigned.
  ControlSessionId last() const { return m_Last; }
  /// The number of open sessions.
  std::size_t size() const { return m_Sessions.size(); }
  /// The open session, or null.
  const SessionRecord *find(ControlSessionId Session) const;
  /// The open session of \p Run of \p Host, or null.
  const SessionRecord *find(const HostId &Host, Incarnation Run) const;
  /// Calls \p Visit for each open session by id.
  void
  forEachSession(const std::function<void(const SessionRecord &)> &Visit) const;

private:
  ControlSessionId m_Last; ///< Last id that was assigned.
  std::map<ControlSessionId, SessionRecord> m_Sessions; ///< Open sessions.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SESSIONTABLE_H
