#ifndef RAGWORTMUX_REQUEST_READREQUESTS_H
#define RAGWORTMUX_REQUEST_READREQUESTS_H

#include "ragwortmux/Request/GroupEvents.h"
#include "ragwortmux/Request/ReadRouter.h"

#include <vector>

namespace ragwortmux {

struct GroupContext;
struct RequestState;

/// What happens to a read: what it needs, where it goes, and whether the answer
/// is new enough to be passed on.
class ReadRequests final {
public:
  explicit ReadRequests(GroupContext &Context) : m_Context(Context) {}

  /// Takes a new read.
  void start(RequestState &State);
  void pointFound(RequestState &State, const std::optional<LogPoint> &Point,
                  bool Known);
  /// The servers that take reads, as they are now.
  std::vector<ReadCandidate> candidates() const;
  /// Where among \p Servers the read could run now.
  ReadChoice route(const RequestState &State,
                   const std::vector<ReadCandidate> &Servers) const;
  void answered(RequestState &State, const BackendAnswer &Result);
  /// The connection is gone and no answer will come.
  void lost(RequestState &State);
  /// No answer has come within the part of the deadline that the first try has.
  void silent(RequestState &State);
  /// The caller's wait is over.
  void expired(RequestState &State);

private:
  ReadNeed needOf(const RequestState &State) const;
  bool isNewEnough(const RequestState &State,
                   const BackendAnswer &Result) const;
  ResultCode obstacle(const RequestState &State) const;
  void retryElsewhere(RequestState &State, ResultCode Reason);
  void passOn(RequestState &State, const BackendAnswer &Result);

  GroupContext &m_Context; ///< The group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_READREQUESTS_H
