#ifndef RAGWORTMUX_VERSION_LISTPROGRESS_H
#define RAGWORTMUX_VERSION_LISTPROGRESS_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <optional>

namespace ragwortmux {

/// What one session has confirmed of a list that all sessions get (the
/// catalogue or the session homes), and what has been sent to it.
///
/// At most one update is on its way, so that changes which follow each other
/// faster than a session confirms them are sent once. What a push has not
/// brought comes with the reply to a renewal, whose connection works.
class ListProgress final {
public:
  /// Records that the session has \p Confirmed while \p Newest is the newest
  /// revision.
  void confirm(Revision Confirmed, Revision Newest, Instant Now);
  /// Records that everything up to \p Newest is sent now.
  void sent(Revision Newest, Instant Now);
  /// Records that what was on its way is lost.
  void sendFailed() { m_HasFailed = true; }

  /// The latest confirmed revision.
  Revision confirmed() const { return m_Confirmed; }
  /// True if \p Newest is to be pushed: the session lacks it and has confirmed
  /// all that was sent before.
  bool isPushDue(Revision Newest) const;
  /// True if the reply to a renewal must bring \p Newest: the session lacks it,
  /// and nothing was sent less than \p Timeout ago that may still arrive.
  bool isReplyDue(Revision Newest, Instant Now, Duration Timeout) const;
  /// True if the session may lack a change that was committed longer than \p
  /// Limit ago.
  bool isOverdue(Revision Newest, Instant Now, Duration Limit) const;

private:
  Revision m_Confirmed;     ///< Latest confirmed revision.
  Revision m_Sent;          ///< Latest revision that was sent.
  Instant m_SentAt{};       ///< When.
  bool m_HasFailed = false; ///< What was sent then is lost.
  std::optional<Instant>
      m_CompleteUntil; ///< The session has all changes committed before.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_LISTPROGRESS_H
