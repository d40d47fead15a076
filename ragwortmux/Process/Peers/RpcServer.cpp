#include "ragwortmux/Process/Peers/RpcServer.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/MakeReplyPromise.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Peers/CapnpBytes.h"
#include "ragwortmux/Process/Peers/ClusterProof.h"
#include "ragwortmux/Process/Peers/GatedStream.h"
#include "ragwortmux/Process/Peers/LogMessageCodec.h"
#include "ragwortmux/Process/Peers/RelayCodec.h"
#include "ragwortmux/Process/Peers/RpcCodec.h"
#include "ragwortmux/Process/Support/LimitReporter.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "ragwortmux/Process/Support/Secret.h"

#include <capnp/rpc-twoparty.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace ragwortmux {

namespace {

/// Connections this young are not closed for RpcServerLimits::m_MaxUnproved, so
/// that all processes of a cluster can reconnect at the same time.
constexpr Duration UnprovedGrace = std::chrono::seconds(1);
/// Time between two checks for connections whose proof is late.
constexpr Duration CheckInterval = std::chrono::milliseconds(100);

ControlStatus noControlRoleStatus() {
  return {ResultCode::NotLeader, "this process has no control role", ""};
}

/// Delivers updates through an entry process's listener capability.
UpdateListener makeUpdateListener(IoLoop &Loop, Metrics *ProcessMetrics,
                                  const HostId &Host,
                                  rpc::EntryListener::Client Client) {
  const auto Shared =
      std::make_shared<rpc::EntryListener::Client>(kj::mv(Client));
  const MetricLabels Labels = {Host.value(), "push"};
  return [&Loop, ProcessMetrics, Labels, Shared](
             ControlSessionId Session, const ControlUpdate &Update,
             const std::function<void(std::optional<Confirmation>)> &Reply) {
    auto Request = Shared->updateRequest();
    Request.setSession(Session.value());
    writeRpc(Request.initUpdate(), Update);
    if (ProcessMetrics != nullptr) {
      ProcessMetrics->add(Metric::PeerCalls, Labels);
      ProcessMetrics->add(Metric::PeerBytes, Labels,
                          sizeInBytes(Request.asReader()));
    }
    Loop.spawn(Request.send().then(
        [Reply](capnp::Response<rpc::EntryListener::UpdateResults> &&Result) {
          Reply(readRpc(Result.getConfirmation()));
        },
        [ProcessMetrics, Reply](kj::Exception &&) {
          if (ProcessMetrics != nullptr) {
            ProcessMetrics->add(Metric::PeerFailures, {"push", "lost"});
          }
          Reply(std::nullopt);
        }));
  };
}

/// Reads the key of a session's position from the parameters of a call.
template <typename Params> SessionPointKey readPointKey(Params In) {
  return {SessionName(toString(In.getSession())),
          GroupId(toString(In.getGroup())), Revision(In.getHomesRevision())};
}

/// Runs statements that another entry process relays over one connection, and
/// ends with the connection.
class RelayServer final : public rpc::StatementRelay::Server {
public:
  RelayServer(IoLoop &Loop, std::weak_ptr<const RpcServerHooks> Hooks,
              RelayPeerId Peer)
      : m_Loop(Loop), m_Hooks(std::move(Hooks)), m_Peer(Peer) {}

  ~RelayServer() noexcept {
    // The hook must not run in the middle of the end of a connection.
    if (m_Hooks.expired()) {
      return;
    }
    m_Loop.after(Duration(0), [Weak = m_Hooks, Peer = m_Peer] {
      const auto Hooks = Weak.lock();
      if (Hooks && Hooks->m_RelayClosed) {
        Hooks->m_RelayClosed(Peer);
      }
    });
  }
  RelayServer(const RelayServer &) = delete;
  RelayServer &operator=(const RelayServer &) = delete;

protected:
  kj::Promise<void> run(RunContext Context) override {
    // The call ends with the connection and must not keep this object alive
    // until the statement is answered.
    Context.allowCancellation();
    auto Request = readRpc(Context.getParams().getStatement(), monotonicNow());
    Context.releaseParams();
    const auto Hooks = m_Hooks.lock();
    if (!Request || !Hooks || !Hooks->m_RunRelayed) {
      SessionAnswer Refusal;
      Refusal.m_Code = Request ? ResultCode::NotRunNoConnection
                               : ResultCode::NotRunBadRequest;
      writeRpc(Context.getResults().initAnswer(), Refusal);
      return kj::READY_NOW;
    }
    return makeReplyPromise<SessionAnswer>([&](auto Respond) {
             Hooks->m_RunRelayed(m_Peer, std::move(*Request), Respond);
           })
        .then([Context](const SessionAnswer &Answer) mutable {
          writeRpc(Context.getResults().initAnswer(), Answer);
        });
  }

  kj::Promise<void>
  callerDisconnected(CallerDisconnectedContext Context) override {
    const auto Hooks = m_Hooks.lock();
    if (Hooks && Hooks->m_RelayedCallerDisconnected) {
      Hooks->m_RelayedCallerDisconnected(
          m_Peer, CallerConnectionId(Context.getParams().getCaller()));
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext) override { return kj::READY_NOW; }

private:
  IoLoop &m_Loop;                              ///< The event loop.
  std::weak_ptr<const RpcServerHooks> m_Hooks; ///< Handlers; a call may outlive
                                               ///< the RpcServer.
  RelayPeerId m_Peer; ///< Id of the connection for the hooks.
};

/// Serves the calls of a process that has proved that it knows the key.
class PeerServer final : public rpc::Peer::Server {
public:
  PeerServer(IoLoop &Loop, const std::shared_ptr<const RpcServerHooks> &Hooks)
      : m_Loop(Loop), m_Hooks(*Hooks), m_RelayHooks(Hooks) {}

protected:
  kj::Promise<void> logMessage(LogMessageContext Context) override {
    const auto Bytes = Context.getParams().getMessage().asChars();
    auto Envelope =
        decodeLogEnvelope(std::string_view(Bytes.begin(), Bytes.size()));
    if (Envelope && m_Hooks.m_LogMessage) {
      m_Hooks.m_LogMessage(std::move(*Envelope));
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> identify(IdentifyContext Context) override {
    const IdentifyReply Reply =
        m_Hooks.m_Identify
            ? m_Hooks.m_Identify(toString(Context.getParams().getFrom()),
                                 Context.getParams().getLeaving())
            : IdentifyReply();
    auto Results = Context.getResults();
    Results.setVoter(toText(Reply.m_Voter));
    Results.setBlank(Reply.m_Blank);
    Results.setHost(toText(Reply.m_Host.value()));
    Results.setConfiguration(Reply.m_Configuration);
    auto Members =
        Results.initMembers(static_cast<unsigned>(Reply.m_Members.size()));
    unsigned Position = 0;
    for (const std::string &Member : Reply.m_Members) {
      Members.set(Position++, toText(Member));
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> openSession(OpenSessionContext Context) override {
    if (!m_Hooks.m_OpenSession) {
      writeRpc(Context.getResults().initStatus(), noControlRoleStatus());
      return kj::READY_NOW;
    }
    const auto Params = Context.getParams();
    return makeReplyPromise<OpenSessionReply>([&](auto Respond) {
             const EntryAddress Host = readRpc(Params.getHost());
             m_Hooks.m_OpenSession(Host, Incarnation(Params.getIncarnation()),
                                   makeUpdateListener(m_Loop, m_Hooks.m_Metrics,
                                                      Host.m_Host,
                                                      Params.getListener()),
                                   Respond);
           })
        .then([Context](const OpenSessionReply &Reply) mutable {
          writeRpc(Context.getResults().initStatus(), Reply.m_Status);
          Context.getResults().setSession(Reply.m_Session.value());
        });
  }

  kj::Promise<void> renew(RenewContext Context) override {
    if (!m_Hooks.m_Renew) {
      writeRpc(Context.getResults().initStatus(), noControlRoleStatus());
      return kj::READY_NOW;
    }
    const auto Params = Context.getParams();
    const Confirmation Confirmed = readRpc(Params.getConfirmation());
    LeaseRenewal Renewal;
    Renewal.m_Session = ControlSessionId(Params.getSession());
    Renewal.m_Sequence = Params.getSequence();
    Renewal.m_Confirmed = Confirmed.m_Groups;
    Renewal.m_Catalogue = Confirmed.m_Catalogue;
    Renewal.m_Homes = Confirmed.m_Homes;
    for (const auto Demand : Params.getDemand()) {
      Renewal.m_Demand.push_back(readRpc(Demand));
    }
    if (!Params.getServesAll()) {
      Renewal.m_ServedGroups = readRpc(Params.getServed());
    }
    return makeReplyPromise<RenewReply>([&](auto Respond) {
             m_Hooks.m_Renew(std::move(Renewal), Respond);
           })
        .then([this, Context](const RenewReply &Reply) mutable {
          auto Results = Context.getResults();
          writeRpc(Results.initStatus(), Reply.m_Status);
          Results.setLeaseUs(Reply.m_Lease.count());
          writeRpc(Results.initUpdate(), Reply.m_Update);
          if (m_Hooks.m_Metrics != nullptr) {
            const MetricLabels Labels = {"all", "renew_answer"};
            m_Hooks.m_Metrics->add(Metric::PeerCalls, Labels);
            m_Hooks.m_Metrics->add(Metric::PeerBytes, Labels,
                                   sizeInBytes(Results.asReader()));
          }
        });
  }

  kj::Promise<void> report(ReportContext Context) override {
    if (!m_Hooks.m_Report) {
      writeRpc(Context.getResults().initStatus(), noControlRoleStatus());
      return kj::READY_NOW;
    }
    const auto Params = Context.getParams();
    std::vector<ServerAnnouncement> Announcements;
    for (const auto Announcement : Params.getAnnouncements()) {
      Announcements.push_back(readRpc(Announcement));
    }
    std::vector<ServerSuspicion> Suspicions;
    for (const auto Suspicion : Params.getSuspicions()) {
      Suspicions.push_back(readRpc(Suspicion));
      Suspicions.back().m_Session = ControlSessionId(Params.getSession());
    }
    return makeReplyPromise<ControlStatus>([&](auto Respond) {
             m_Hooks.m_Report(std::move(Announcements), std::move(Suspicions),
                              Respond);
           })
        .then([Context](const ControlStatus &Status) mutable {
          writeRpc(Context.getResults().initStatus(), Status);
        });
  }

  kj::Promise<void> command(CommandContext Context) override {
    if (!m_Hooks.m_Command) {
      writeRpc(Context.getResults().initResult().initStatus(),
               noControlRoleStatus());
      return kj::READY_NOW;
    }
    return makeReplyPromise<CommandReply>([&](auto Respond) {
             m_Hooks.m_Command(toString(Context.getParams().getCommand()),
                               Respond);
           })
        .then([Context](const CommandReply &Reply) mutable {
          writeRpc(Context.getResults().initResult(), Reply);
        });
  }

  kj::Promise<void> query(QueryContext Context) override {
    if (!m_Hooks.m_Query) {
      writeRpc(Context.getResults().initStatus(), noControlRoleStatus());
      return kj::READY_NOW;
    }
    const auto Params = Context.getParams();
    return makeReplyPromise<QueryReply>([&](auto Respond) {
             m_Hooks.m_Query(toString(Params.getWhat()),
                             toString(Params.getName()), Respond);
           })
        .then([Context](const QueryReply &Reply) mutable {
          writeRpc(Context.getResults().initStatus(), Reply.m_Status);
          Context.getResults().setJson(toText(Reply.m_Json));
        });
  }

  kj::Promise<void>
  storeSessionPoint(StoreSessionPointContext Context) override {
    const auto Params = Context.getParams();
    const auto Point = readRpc(Params.getPoint());
    const SessionPointEntry Entry{readPointKey(Params),
                                  Point.value_or(LogPoint()),
                                  readRpc(Params.getTicket())};
    const bool Stored =
        Point && m_Hooks.m_StorePoint && m_Hooks.m_StorePoint(Entry);
    Context.getResults().setStored(Stored);
    return kj::READY_NOW;
  }

  kj::Promise<void> findSessionPoint(FindSessionPointContext Context) override {
    if (!m_Hooks.m_FindPoint) {
      return KJ_EXCEPTION(FAILED, "this process is not a session home");
    }
    const SessionLookup Found =
        m_Hooks.m_FindPoint(readPointKey(Context.getParams()));
    writeRpc(Context.getResults().initPoint(), Found.m_Point);
    writeRpc(Context.getResults().initTicket(), Found.m_Ticket);
    return kj::READY_NOW;
  }

  kj::Promise<void> openRelay(OpenRelayContext Context) override {
    m_LastRelay = RelayPeerId(m_LastRelay.value() + 1);
    Context.getResults().setRelay(
        kj::heap<RelayServer>(m_Loop, m_RelayHooks, m_LastRelay));
    return kj::READY_NOW;
  }

  kj::Promise<void> takePermits(TakePermitsContext Context) override {
    if (!m_Hooks.m_TakePermits) {
      writeRpc(Context.getResults().initStatus(), noControlRoleStatus());
      return kj::READY_NOW;
    }
    const auto Params = Context.getParams();
    std::vector<PermitDemand> Demands;
    for (const auto Demand : Params.getDemands()) {
      Demands.push_back({WorkspaceId(toString(Demand.getWorkspace())),
                         Demand.getNeeded(), Demand.getSpare()});
    }
    return makeReplyPromise<TakePermitsReply>([&](auto Respond) {
             m_Hooks.m_TakePermits(ControlSessionId(Params.getSession()),
                                   std::move(Demands), Respond);
           })
        .then([Context](const TakePermitsReply &Reply) mutable {
          auto Results = Context.getResults();
          writeRpc(Results.initStatus(), Reply.m_Status);
          Results.setValidityUs(Reply.m_Grants.m_Validity.count());
          auto Grants = Results.initGrants(
              static_cast<unsigned>(Reply.m_Grants.m_Grants.size()));
          unsigned Position = 0;
          for (const PermitGrant &Grant : Reply.m_Grants.m_Grants) {
            auto Row = Grants[Position++];
            Row.setPermits(Grant.m_Permits);
            Row.setRetryAfterUs(
                static_cast<std::uint32_t>(Grant.m_RetryAfter.count()));
            Row.setPlenty(Grant.m_IsPlenty);
          }
        });
  }

private:
  IoLoop &m_Loop;                ///< The event loop.
  const RpcServerHooks &m_Hooks; ///< Handlers; owned by RpcServer.
  std::weak_ptr<const RpcServerHooks>
      m_RelayHooks;        ///< The same for relays, which may live longer.
  RelayPeerId m_LastRelay; ///< Id of the newest relay.
};

/// Serves one challenge: checks a single proof and returns the peer interface
/// if it is correct.
class ChallengeServer final : public rpc::Challenge::Server {
public:
  ChallengeServer(std::string Nonce, const Secret &Key, rpc::Peer::Client Peer,
                  std::shared_ptr<ProofGate> Gate)
      : m_Nonce(std::move(Nonce)), m_Key(Key), m_Peer(kj::mv(Peer)),
        m_Gate(std::move(Gate)) {}

protected:
  kj::Promise<void> answer(AnswerContext Context) override {
    const std::string Host = toString(Context.getParams().getHost());
    const std::string Received = toString(Context.getParams().getProof());
    const std::string Expected = clusterProof(m_Key, m_Nonce, Host);
    const bool Matches =
        !m_IsUsed && Received.size() == Expected.size() &&
        CRYPTO_memcmp(Received.data(), Expected.data(), Expected.size()) == 0;
    m_IsUsed = true;
    if (!Matches) {
      logWarn(
          Part::Rpc,
          "Refused a connection: its proof does not match the cluster key.");
      return KJ_EXCEPTION(FAILED, "the cluster key does not match");
    }
    m_Gate->m_IsProved = true;
    Context.getResults().setPeer(m_Peer);
    return kj::READY_NOW;
  }

private:
  std::string m_Nonce;               ///< The challenge.
  const Secret &m_Key;               ///< The cluster key.
  rpc::Peer::Client m_Peer;          ///< Returned for a correct proof.
  std::shared_ptr<ProofGate> m_Gate; ///< Opened by a correct proof.
  bool m_IsUsed = false;             ///< A proof has been received.
};

/// Serves a new connection until it has proved that it knows the cluster key.
class GateServer final : public rpc::Gate::Server {
public:
  GateServer(const Secret &Key, rpc::Peer::Client Peer,
             std::shared_ptr<ProofGate> Gate)
      : m_Key(Key), m_Peer(kj::mv(Peer)), m_Gate(std::move(Gate)) {}

protected:
  kj::Promise<void> hello(HelloContext Context) override {
    const std::string Nonce = makeNonce();
    Context.getResults().setNonce(toData(Nonce));
    Context.getResults().setChallenge(
        kj::heap<ChallengeServer>(Nonce, m_Key, m_Peer, m_Gate));
    return kj::READY_NOW;
  }

private:
  const Secret &m_Key;               ///< The cluster key.
  rpc::Peer::Client m_Peer;          ///< Shared by all connections.
  std::shared_ptr<ProofGate> m_Gate; ///< Of this connection.
};

} // namespace

struct RpcServer::Impl final {
  /// One accepted connection.
  struct Connection final {
    Connection(kj::Own<kj::AsyncIoStream> Stream, const Secret &Key,
               rpc::Peer::Client Peer, std::shared_ptr<ProofGate> Gate)
        : m_Gate(std::move(Gate)), m_Stream(kj::mv(Stream), m_Gate),
          m_Server(kj::heap<GateServer>(Key, kj::mv(Peer), m_Gate)) {}

    Instant m_AcceptedAt = monotonicNow(); ///< When it was accepted.
    std::shared_ptr<ProofGate> m_Gate;     ///< Whether the key is proved.
    GatedStream m_Stream;                  ///< The socket.
    capnp::TwoPartyServer m_Server;        ///< Serves the connection.
    std::optional<kj::Promise<void>>
        m_Serving;            ///< Its end closes the connection.
    bool m_IsClosing = false; ///< close() was called.
  };

  Impl(IoLoop &Loop, const Secret &Key, RpcServerHooks &&ServerHooks,
       RpcServerLimits Limits)
      : m_Loop(Loop), m_Key(Key), m_Limits(Limits),
        m_Hooks(std::make_shared<const RpcServerHooks>(std::move(ServerHooks))),
        m_Reporter(Part::Rpc, m_Hooks->m_Metrics),
        m_Peer(kj::heap<PeerServer>(Loop, m_Hooks)) {}

  kj::Promise<void> accept() {
    return m_Receiver->accept().then(
        [this](kj::Own<kj::AsyncIoStream> Stream) {
          serve(kj::mv(Stream));
          return accept();
        },
        [this](kj::Exception &&Error) {
          // The process has probably run out of file descriptors; retry after a
          // pause.
          logWarn(Part::Rpc, "Could not accept a connection: {}.",
                  Error.getDescription().cStr());
          return m_Loop.timer().afterDelay(100 * kj::MILLISECONDS).then([this] {
            return accept();
          });
        });
  }

  void serve(kj::Own<kj::AsyncIoStream> Stream) {
    const std::uint64_t Id = ++m_LastConnection;
    auto Gate = std::make_shared<ProofGate>();
    Gate->m_BytesLeft = m_Limits.m_UnprovedBytes;
    Gate->m_Exceeded = [this] {
      m_Reporter.report("rpc_unproved_bytes", "closed",
                        m_Limits.m_UnprovedBytes, monotonicNow());
    };
    Connection &Added =
        *m_Connections
             .emplace(Id, std::make_unique<Connection>(kj::mv(Stream), m_Key,
                                                       m_Peer, std::move(Gate)))
             .first->second;
    Added.m_Serving = Added.m_Server.accept(Added.m_Stream)
                          .then([this, Id] { close(Id); },
                                [this, Id](kj::Exception &&) { close(Id); })
                          .eagerlyEvaluate(nullptr);
    scheduleCheck();
  }

  /// Closes a connection in a later turn of the event loop, because this may be
  /// called from its own promise.
  void close(std::uint64_t Id) {
    const auto Found = m_Connections.find(Id);
    if (Found == m_Connections.end() ||
        std::exchange(Found->second->m_IsClosing, true)) {
      return;
    }
    m_Loop.after(Duration(0), [Weak = std::weak_ptr(m_Alive), this, Id] {
      if (!Weak.expired()) {
        m_Connections.erase(Id);
      }
    });
  }

  void scheduleCheck() {
    if (std::exchange(m_IsCheckScheduled, true)) {
      return;
    }
    m_Loop.after(CheckInterval, [Weak = std::weak_ptr(m_Alive), this] {
      if (!Weak.expired()) {
        m_IsCheckScheduled = false;
        closeExpired();
      }
    });
  }

  void closeExpired() {
    const Instant Now = monotonicNow();
    // Ids ascend with the time of accepting.
    std::vector<std::pair<std::uint64_t, Duration>> Unproved;
    for (const auto &[Id, Current] : m_Connections) {
      if (!Current->m_Gate->m_IsProved && !Current->m_IsClosing) {
        Unproved.emplace_back(Id, Now - Current->m_AcceptedAt);
      }
    }
    std::size_t Excess =
        Unproved.size() - std::min(Unproved.size(), m_Limits.m_MaxUnproved);
    for (const auto &[Id, Age] : Unproved) {
      if (Age > m_Limits.m_ProofTimeout) {
        m_Reporter.report("rpc_proof_timeout_ms", "closed", 0, Now);
        close(Id);
      } else if (Excess > 0 && Age > UnprovedGrace) {
        m_Reporter.report("rpc_unproved_max", "closed", 0, Now);
        close(Id);
      }
      Excess -= Excess > 0 ? 1 : 0;
    }
    if (!Unproved.empty()) {
      scheduleCheck();
    }
  }

  IoLoop &m_Loop;                                ///< The event loop.
  const Secret &m_Key;                           ///< The cluster key.
  RpcServerLimits m_Limits;                      ///< The limits.
  std::shared_ptr<const RpcServerHooks> m_Hooks; ///< Handlers of the calls.
  LimitReporter m_Reporter;                      ///< Counts and logs limits.
  rpc::Peer::Client m_Peer;                      ///< Shared by all connections.
  kj::Own<kj::ConnectionReceiver> m_Receiver;    ///< The listening socket.
  std::uint64_t m_LastConnection = 0;            ///< The last assigned id.
  bool m_IsCheckScheduled = false; ///< closeExpired() will be called.
  std::shared_ptr<bool> m_Alive =
      std::make_shared<bool>(true); ///< Tasks end with the server.
  std::map<std::uint64_t, std::unique_ptr<Connection>>
      m_Connections; ///< Open connections, by id.
};

RpcServer::RpcServer(IoLoop &Loop, const Secret &ClusterKey,
                     RpcServerHooks Hooks, RpcServerLimits Limits)
    : m_Impl(
          std::make_unique<Impl>(Loop, ClusterKey, std::move(Hooks), Limits)) {}

RpcServer::~RpcServer() = default;

std::uint16_t RpcServer::listen(const std::string &Address,
                                std::uint16_t Port) {
  IoLoop &Loop = m_Impl->m_Loop;
  auto Parsed =
      Loop.network().parseAddress(Address, Port).wait(Loop.waitScope());
  m_Impl->m_Receiver = Parsed->listen();
  Loop.spawn(m_Impl->accept());
  return static_cast<std::uint16_t>(m_Impl->m_Receiver->getPort());
}

} // namespace ragwortmux
