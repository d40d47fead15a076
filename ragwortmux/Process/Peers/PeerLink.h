#ifndef RAGWORTMUX_PROCESS_PEERS_PEERLINK_H
#define RAGWORTMUX_PROCESS_PEERS_PEERLINK_H

#include "ragwortmux/Process/Log/LogMessage.h"
#include "ragwortmux/Process/Peers/ControlMessages.h"
#include "ragwortmux/Version/SessionRecord.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragwortmux {

class IoLoop;
class Metrics;
class Secret;

/// Address, timeouts and limits of a PeerLink.
struct PeerLinkSettings final {
  HostId m_OwnHost;         ///< This host; named in the proof.
  std::string m_Address;    ///< IP address of the other process.
  std::uint16_t m_Port = 0; ///< Its RPC port.
  Duration m_CallTimeout = std::chrono::milliseconds(
      1000); ///< Timeout of one call. PeerLink waits longer while bytes
             ///< arrive, up to ten times as long.
  Duration m_ReconnectPause =
      std::chrono::milliseconds(50); ///< Pause between two connection attempts.
  std::size_t m_MaxUnanswered =
      4096; ///< Limit of unanswered calls; further calls fail at once.
  Duration m_PingInterval = std::chrono::milliseconds(
      300); ///< RelayLink: pause between two checks of the connection while
            ///< statements are unanswered.
  Duration m_SilenceLimit = std::chrono::milliseconds(
      600); ///< RelayLink: the connection is dropped if a check stays without
            ///< an answer for this long.
  Metrics *m_Metrics = nullptr; ///< Counts the calls; null: none does.
};

/// RPC client for one other process of the cluster: connects on first use,
/// proves the knowledge of the cluster key, and reconnects after a failure.
///
/// A call that times out counts as a failure of the connection, because a
/// connection may stay silent for ever while a new one would work. A call whose
/// connection still receives bytes is waited for. Each reply
/// is given once, on the event loop; an empty reply means that it is unknown
/// whether the other process carried out the call.
class PeerLink final {
public:
  template <typename Reply>
  using Respond = std::function<void(std::optional<Reply>)>;
  /// Handles an update that control pushes; called on the event loop.
  using UpdateHandler = std::function<Confirmation(ControlSessionId Session,
                                                   ControlUpdate Update)>;

  PeerLink(IoLoop &Loop, const Secret &ClusterKey, PeerLinkSettings Settings);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// Sends \p Message, encoded with encodeLogEnvelope(), without waiting; it
  /// may be lost.
  void sendLogMessage(const std::string &Message);
  /// Asks for the identity of the other process. \p From is the address of this
  /// process if it wants to become a member of the log, else empty. \p
  /// IsLeaving: this process waits to be removed from the log before it ends.
  void identify(const std::string &From, bool IsLeaving,
                Respond<IdentifyReply> Reply);
  /// Opens a session; \p Updates handles the updates that control pushes to it.
  void openSession(const EntryAddress &Self, Incarnation Run,
                   UpdateHandler Updates, Respond<OpenSessionReply> Reply);
  void renew(const LeaseRenewal &Renewal, Respond<RenewReply> Reply);
  void report(ControlSessionId Session,
              const std::vector<ServerAnnouncement> &Announcements,
              const std::vector<ServerSuspicion> &Suspicions,
              Respond<ControlStatus> Reply);
  /// \p Command is encoded by CommandCodec.
  void command(const std::string &Command, Respond<CommandReply> Reply);
  void query(const std::string &QueryKind, const std::string &Name,
             Respond<QueryReply> Reply);
  void takePermits(ControlSessionId Session,
                   const std::vector<PermitDemand> &Demands,
                   Respond<TakePermitsReply> Reply);
  void storeSessionPoint(const SessionPointEntry &Entry, Respond<bool> Reply);
  void findSessionPoint(const SessionPointKey &Key,
                        Respond<SessionLookup> Reply);

  /// The settings of this link.
  const PeerLinkSettings &settings() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl; ///< Connection and Cap'n Proto objects.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_PEERLINK_H
