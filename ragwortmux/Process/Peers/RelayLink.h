#ifndef RAGWORTMUX_PROCESS_PEERS_RELAYLINK_H
#define RAGWORTMUX_PROCESS_PEERS_RELAYLINK_H

#include "ragwortmux/Core/Ids.h"

#include <functional>
#include <memory>
#include <optional>

namespace ragwortmux {

class IoLoop;
class Secret;
struct PeerLinkSettings;
struct SessionAnswer;
struct SessionRequest;

/// Hooks of a RelayLink; called on the event loop.
struct RelayLinkHooks final {
  std::function<void()>
      m_Lost; ///< An established connection was lost, and with it the callers'
              ///< transactions; called once for each lost connection, after its
              ///< unanswered statements were answered.
};

/// Relays callers' statements to one other entry process: connects on first
/// use and again after a failure, and notices when the connection falls silent.
///
/// Each statement is answered once, on the event loop; the destructor answers
/// those that are left.
class RelayLink final {
public:
  template <typename Reply>
  using Respond = std::function<void(std::optional<Reply>)>;

  RelayLink(IoLoop &Loop, const Secret &ClusterKey, PeerLinkSettings Settings,
            RelayLinkHooks Hooks);
  ~RelayLink();
  RelayLink(const RelayLink &) = delete;
  RelayLink &operator=(const RelayLink &) = delete;

  /// Runs \p Request on the other process. An empty reply means that it is
  /// unknown whether the statement ran. A statement that was certainly not sent
  /// gets NotRunNoConnection, NotRunQueueFull beyond the limit of unanswered
  /// statements, or NotRunBadRequest if it is too large for a message.
  void run(const SessionRequest &Request, Respond<SessionAnswer> Reply);
  /// Tells the other process that \p Caller has closed its connection.
  void callerDisconnected(CallerConnectionId Caller);
  /// False from a failure of the connection until a new one is established;
  /// until then statements are refused.
  bool isUsable() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl; ///< Connection and Cap'n Proto objects.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_RELAYLINK_H
