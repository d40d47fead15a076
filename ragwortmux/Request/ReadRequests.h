#ifndef RAGWORTMUX_REQUEST_READREQUESTS_H
#define RAGWORTMUX_REQUEST_READREQUESTS_H

#include "ragwortmux/Request/GroupEvents.h"
#include "ragwortmux/Request/ReadRouter.h"

#include <vector>

namespace ragwortmux {

struct GroupContext;
struct RequestState;

/// Handles reads: their requirements, their routing, and the check that an
/// answer is recent enough to be forwarded.
class ReadRequests final {
public:
  explicit ReadRequests(GroupContext &Context) : m_Context(Context) {}

  /// Starts a new read.
  void start(RequestState &State);
  void pointFound(RequestState &State, const std::optional<LogPoint> &Point,
                  bool IsKnown);
  /// Current state of the servers that accept reads.
  std::vector<ReadCandidate> candidates() const;
  /// Chooses among \p Servers where the read runs or waits.
  ReadChoice route(const RequestState &State,
                   const std::vector<ReadCandidate> &Servers) const;
  void handleAnswer(RequestState &State, const BackendAnswer &Result);
  /// Handles the loss of the connection: no answer will arrive.
  void handleLostAnswer(RequestState &State);
  /// Handles a missing answer after the first try's part of the deadline:
  /// retries on another server.
  void handleMissingAnswer(RequestState &State);
  /// Handles the deadline of the request.
  void handleDeadline(RequestState &State);

private:
  ReadRequirements requirementsOf(const RequestState &State) const;
  bool isRecentEnough(const RequestState &State,
                      const BackendAnswer &Result) const;
  ResultCode notRunReason(const RequestState &State) const;
  void retryOnOtherServer(RequestState &State, ResultCode Reason);
  void forwardAnswer(RequestState &State, const BackendAnswer &Result);

  GroupContext &m_Context; ///< The group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_READREQUESTS_H
