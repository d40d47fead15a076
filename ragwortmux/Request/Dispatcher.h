#ifndef RAGWORTMUX_REQUEST_DISPATCHER_H
#define RAGWORTMUX_REQUEST_DISPATCHER_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Request/ReadRouter.h"
#include "ragwortmux/Request/RequestQueue.h"

#include <cstdint>
#include <map>
#include <vector>

namespace ragwortmux {

struct GroupContext;
struct RequestState;

/// Sends queued requests on free connections and sets the connection demand of
/// the pool.
class Dispatcher final {
public:
  explicit Dispatcher(GroupContext &Context) : m_Context(Context) {}

  void run();
  /// Reason why a write cannot be sent now; NotRunDeadline if it only waits for
  /// its turn.
  ResultCode writeNotRunReason() const;

private:
  TryResult tryRun(RequestId Request);
  TryResult tryWrite(RequestState &State);
  TryResult tryRead(RequestState &State);
  TryResult waitForAny();
  void sendTo(RequestState &State, const ServerId &Server);
  void setDemand();

  GroupContext &m_Context; ///< The group.
  std::map<ServerId, std::uint32_t>
      m_Demand; ///< Connection demand of the current run.
  std::vector<ReadCandidate>
      m_Candidates; ///< Servers to choose from for reads.
  bool m_AreCandidatesCurrent =
      false; ///< Nothing was sent since m_Candidates was computed.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_DISPATCHER_H
