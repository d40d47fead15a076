#ifndef RAGWORTMUX_PROCESS_BACKEND_CANCELSENDER_H
#define RAGWORTMUX_PROCESS_BACKEND_CANCELSENDER_H

#include <atomic>
#include <memory>

struct pg_cancel;

namespace ragwortmux {

class ActorSystem;

/// Sends libpq's cancel requests on separate threads, since PQcancel blocks.
///
/// A cancel request releases the slot and the locks of an abandoned statement.
/// Without it, the server would detect the closed connection only when the
/// statement ends. A request that cannot be sent is logged and not retried.
class CancelSender final {
public:
  explicit CancelSender(ActorSystem &Actors);
  CancelSender(const CancelSender &) = delete;
  CancelSender &operator=(const CancelSender &) = delete;

  /// Sends \p Request; drops it if too many requests are in flight.
  void send(const std::shared_ptr<pg_cancel> &Request);

private:
  ActorSystem &m_Actors; ///< Provides the threads.
  std::shared_ptr<std::atomic<unsigned>>
      m_InFlight; ///< Number of requests in flight.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_BACKEND_CANCELSENDER_H
