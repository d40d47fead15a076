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

/// The open control sessions: one for each run of an entry process.
///
/// A restarted process opens a session of its own next to the previous one,
/// which stays open until its lease has run out: only that shows that the
/// previous process acknowledges nothing more.
class SessionTable final {
public:
  /// Opens a session, or finds the open one of the same host and incarnation.
  ControlResult open(const OpenSession &Command);
  /// Ends \p Session. Ending one that is not open has no effect.
  ControlResult end(ControlSessionId Session);

  void importData(ControlSessionId Last,
                  const std::vector<SessionRecord> &Sessions);

  /// The last session id given out.
  ControlSessionId last() const { return m_Last; }
  /// Open sessions.
  std::size_t size() const { return m_Sessions.size(); }
  /// The open session, or null.
  const SessionRecord *find(ControlSessionId Session) const;
  /// Calls \p Visit for each open session by id.
  void
  forEachSession(const std::function<void(const SessionRecord &)> &Visit) const;

private:
  ControlSessionId m_Last;                              ///< Last id given out.
  std::map<ControlSessionId, SessionRecord> m_Sessions; ///< Open sessions.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SESSIONTABLE_H
