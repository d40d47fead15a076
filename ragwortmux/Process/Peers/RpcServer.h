#ifndef RAGWORTMUX_PROCESS_PEERS_RPCSERVER_H
#define RAGWORTMUX_PROCESS_PEERS_RPCSERVER_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Log/LogMessage.h"
#include "ragwortmux/Process/Peers/ControlMessages.h"
#include "ragwortmux/Version/SessionRecord.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ragwortmux {

class IoLoop;
class Metrics;
class Secret;
struct SessionAnswer;
struct SessionRequest;

/// Handlers of the calls from other processes of the cluster. Hooks run on the
/// event loop; each reply is given once, on the event loop, at once or later. A
/// call whose hook is empty is refused.
struct RpcServerHooks final {
  template <typename Reply> using Respond = std::function<void(Reply)>;

  /// A message of the replicated log.
  std::function<void(LogEnvelope Envelope)> m_LogMessage;
  /// Returns the identity of this process; see PeerLink::identify().
  std::function<IdentifyReply(const std::string &From, bool IsLeaving)>
      m_Identify;
  /// An entry process opens a control session.
  std::function<void(EntryAddress Host, Incarnation Run,
                     UpdateListener Listener, Respond<OpenSessionReply>)>
      m_OpenSession;
  /// An entry process renews its lease.
  std::function<void(LeaseRenewal Renewal, Respond<RenewReply>)> m_Renew;
  /// An entry process reports announcements and suspicions of backend servers.
  std::function<void(std::vector<ServerAnnouncement> Announcements,
                     std::vector<ServerSuspicion> Suspicions,
                     Respond<ControlStatus>)>
      m_Report;
  /// A command for the replicated state machine, encoded by CommandCodec.
  std::function<void(std::string Command, Respond<CommandReply>)> m_Command;
  /// A query of the leader's state; see controlQueryJson().
  std::function<void(std::string QueryKind, std::string Name,
                     Respond<QueryReply>)>
      m_Query;
  /// An entry process takes permits for operations of limited workspaces.
  std::function<void(ControlSessionId Session,
                     std::vector<PermitDemand> Demands,
                     Respond<TakePermitsReply>)>
      m_TakePermits;
  /// Stores a session's position; false if it was not stored.
  std::function<bool(const SessionPointEntry &Entry)> m_StorePoint;
  /// Looks a session's position up.
  std::function<SessionLookup(const SessionPointKey &Key)> m_FindPoint;
  /// Another entry process relays a statement; the ids of the request and its
  /// caller are those of \p Peer. The reply may come after m_RelayClosed.
  std::function<void(RelayPeerId Peer, SessionRequest Request,
                     Respond<SessionAnswer>)>
      m_RunRelayed;
  /// A caller whose statements \p Peer relayed has disconnected.
  std::function<void(RelayPeerId Peer, CallerConnectionId Caller)>
      m_RelayedCallerDisconnected;
  /// The connection from \p Peer has ended; called once for each peer, but not
  /// when the RpcServer is destroyed.
  std::function<void(RelayPeerId Peer)> m_RelayClosed;
  /// Counts the updates that are pushed to entry processes, and the limits that
  /// connections reach; null: none does.
  Metrics *m_Metrics = nullptr;
};

/// Limits on connections whose peers have not proved the cluster key.
struct RpcServerLimits final {
  std::size_t m_MaxUnproved = 128;     ///< Such connections at a time.
  std::size_t m_UnprovedBytes = 65536; ///< Bytes that each may send.
  Duration m_ProofTimeout = std::chrono::seconds(10); ///< Time for the proof.
};

/// Serves RPC to processes that prove that they know the cluster key.
class RpcServer final {
public:
  RpcServer(IoLoop &Loop, const Secret &ClusterKey, RpcServerHooks Hooks,
            RpcServerLimits Limits = {});
  ~RpcServer();
  RpcServer(const RpcServer &) = delete;
  RpcServer &operator=(const RpcServer &) = delete;

  /// Listens on \p Address (0 as \p Port: any free one); returns the port.
  std::uint16_t listen(const std::string &Address, std::uint16_t Port);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl; ///< Socket and Cap'n Proto objects.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_RPCSERVER_H
