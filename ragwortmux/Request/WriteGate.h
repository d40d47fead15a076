#ifndef RAGWORTMUX_REQUEST_WRITEGATE_H
#define RAGWORTMUX_REQUEST_WRITEGATE_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/LogPoint.h"

#include <map>
#include <optional>

namespace ragwortmux {

struct GroupView;

/// Decides whether a commit is replicated far enough to be acknowledged.
class WriteGate final {
public:
  /// \p AllowSingleServer: a group with a single server may acknowledge writes
  /// without a replica.
  explicit WriteGate(bool AllowSingleServer);

  /// Records that at \p Now \p Server reported \p Point as applied, in reply to
  /// a query sent at \p QuerySentAt. Of overlapping queries the higher position
  /// counts.
  void setApplied(const ServerId &Server, const LogPoint &Point,
                  Instant QuerySentAt, Instant Now);

  /// True if \p Commit of the primary of \p View is applied on all other
  /// servers of \p View that are not behind, at least one of which is in sync
  /// and can therefore be appointed.
  bool isReplicated(const GroupView &View, const LogPoint &Commit) const;
  /// Last applied position of \p Server.
  std::optional<LogPoint> applied(const ServerId &Server) const;

private:
  struct Applied final {
    LogPoint m_Point;     ///< Applied log position.
    Instant m_ReportedAt; ///< When the server reported it.
  };

  bool m_AllowSingleServer;              ///< See the constructor.
  std::map<ServerId, Applied> m_Applied; ///< Applied position by server.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_WRITEGATE_H
