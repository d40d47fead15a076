#ifndef RAGWORTMUX_REQUEST_WRITEGATE_H
#define RAGWORTMUX_REQUEST_WRITEGATE_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/LogPoint.h"

#include <map>
#include <optional>

namespace ragwortmux {

struct GroupView;

/// Tells whether a commit is applied wherever it has to be before it may be
/// acknowledged.
class WriteGate final {
public:
  /// \p AllowSingleServer: a group that has one server only may acknowledge
  /// alone.
  explicit WriteGate(bool AllowSingleServer);

  /// \p Server said at \p Now that it has applied \p Point, to a question sent
  /// at \p AskedAt. Of questions that were under way together the greater
  /// answer counts.
  void setApplied(const ServerId &Server, const LogPoint &Point,
                  Instant AskedAt, Instant Now);

  /// True if \p Commit of the primary of \p View is applied at all other
  /// members of the in-sync set, of which one at least besides the primary can
  /// be appointed.
  bool isReplicated(const GroupView &View, const LogPoint &Commit) const;
  /// The last point that \p Server said.
  std::optional<LogPoint> applied(const ServerId &Server) const;

private:
  struct Applied final {
    LogPoint m_Point;  ///< What it had applied.
    Instant m_KnownAt; ///< When it said so.
  };

  bool m_AllowSingleServer;              ///< See the constructor.
  std::map<ServerId, Applied> m_Applied; ///< By server.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_WRITEGATE_H
