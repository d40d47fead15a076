#ifndef RAGWORTMUX_REQUEST_RELAYEDCALLERS_H
#define RAGWORTMUX_REQUEST_RELAYEDCALLERS_H

#include "ragwortmux/Request/SessionEvents.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace ragwortmux {

/// The callers of other entry hosts whose statements run on this host: gives
/// each an id of this process, and returns each answer to its origin.
///
/// A caller is forgotten once it has neither an unanswered statement nor an
/// open transaction.
class RelayedCallers final {
public:
  using Respond = std::function<void(SessionAnswer Answer)>;

  /// Replaces the ids in a statement from \p Peer by ids of this process.
  /// \p Reply receives the answer, exactly once.
  SessionRequest accept(RelayPeerId Peer, SessionRequest Request,
                        Respond Reply);
  /// Passes an answer on; false if its caller is not a relayed one.
  bool answer(const SessionAnswer &Response);
  /// Forgets a caller that has disconnected; returns its id in this process, if
  /// it is known. Its unanswered statements get OutcomeUnknown.
  std::optional<CallerConnectionId>
  callerDisconnected(RelayPeerId Peer, CallerConnectionId Caller);
  /// Forgets all callers of \p Peer and returns their ids in this process.
  std::vector<CallerConnectionId> peerClosed(RelayPeerId Peer);

  /// Number of callers that are known.
  std::size_t size() const { return m_Callers.size(); }

private:
  using Origin = std::pair<RelayPeerId, CallerConnectionId>;

  /// A statement without an answer.
  struct Unanswered final {
    Origin m_Origin;        ///< Where it came from.
    RequestId m_OriginalId; ///< Its id there.
    Respond m_Reply;        ///< Receives the answer.
  };

  void forget(const Origin &From);

  /// Ids of relayed callers and statements start here, so that they differ from
  /// those of the callers that are connected to this process.
  static constexpr std::uint64_t FirstId = 1ULL << 63U;

  std::uint64_t m_LastId = FirstId;               ///< Last assigned id.
  std::map<Origin, CallerConnectionId> m_Callers; ///< Ids by origin.
  std::map<RequestId, Unanswered>
      m_Unanswered; ///< Statements by their ids in this process.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_RELAYEDCALLERS_H
