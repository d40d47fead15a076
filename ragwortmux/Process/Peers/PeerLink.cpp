#include "ragwortmux/Process/Peers/PeerLink.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Peers/CapnpBytes.h"
#include "ragwortmux/Process/Peers/PeerConnection.h"
#include "ragwortmux/Process/Peers/RpcCodec.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "ragwortmux/Process/Support/SocketAddress.h"

namespace ragwortmux {

namespace {

/// Interval of the checks of a connection with a call beyond its timeout.
constexpr Duration SilenceCheckInterval = std::chrono::milliseconds(50);
/// A connection counts as silent if nothing has arrived for this long.
constexpr Duration SilenceTimeout = std::chrono::milliseconds(200);
/// Largest multiple of its timeout that a call may take.
constexpr int MaxTimeouts = 10;

/// Passes updates from control to a handler.
class ListenerServer final : public rpc::EntryListener::Server {
public:
  explicit ListenerServer(PeerLink::UpdateHandler Updates)
      : m_Updates(std::move(Updates)) {}

protected:
  kj::Promise<void> update(UpdateContext Context) override {
    const auto Params = Context.getParams();
    const Confirmation Confirmed = m_Updates(
        ControlSessionId(Params.getSession()), readRpc(Params.getUpdate()));
    writeRpc(Context.getResults().initConfirmation(), Confirmed);
    return kj::READY_NOW;
  }

private:
  PeerLink::UpdateHandler m_Updates; ///< Handles updates.
};

/// Writes the key of a session's position into the parameters of a call.
template <typename Call>
void writePointKey(Call &Out, const SessionPointKey &Key) {
  Out.setSession(toText(Key.m_Session.value()));
  Out.setGroup(toText(Key.m_Group.value()));
  Out.setHomesRevision(Key.m_Homes.value());
}

} // namespace

struct PeerLink::Impl final : std::enable_shared_from_this<Impl> {
  Impl(IoLoop &Loop, const Secret &Key, PeerLinkSettings LinkSettings)
      : m_Loop(Loop), m_Key(Key), m_Settings(std::move(LinkSettings)),
        m_PeerName(
            formatSocketAddress({m_Settings.m_Address, m_Settings.m_Port})) {}

  /// Returns the other process's interface and connects first if necessary;
  /// calls wait until the connection is made. Empty if there is no connection
  /// and the last attempt is more recent than the reconnect pause.
  kj::Maybe<rpc::Peer::Client> peer() {
    KJ_IF_MAYBE (Existing, m_Peer) {
      return *Existing;
    }
    const Instant Now = monotonicNow();
    if (Now < m_RetryAt) {
      return nullptr;
    }
    m_RetryAt = Now + m_Settings.m_ReconnectPause;
    m_Connection = std::make_shared<PeerConnection>(
        [Weak = weak_from_this(), Number = ++m_ConnectionNumber] {
          const auto Self = Weak.lock();
          if (Self && Self->m_ConnectionNumber == Number) {
            Self->m_LastHeardAt = monotonicNow();
          }
        });
    rpc::Peer::Client Peer =
        m_Connection->connect(m_Loop, m_Key, m_Settings.m_OwnHost,
                              m_Settings.m_Address, m_Settings.m_Port);
    m_Peer = Peer;
    return Peer;
  }

  /// Drops \p Failed, unless a newer connection has replaced it.
  void dropConnection(const std::shared_ptr<PeerConnection> &Failed) {
    if (Failed != m_Connection) {
      return;
    }
    // A connection must not be destroyed by one of its own callbacks, so a task
    // on a later turn of the event loop releases it.
    m_Loop.after(
        Duration(0),
        [Peer = std::make_shared<kj::Maybe<rpc::Peer::Client>>(kj::mv(m_Peer)),
         Old = std::move(m_Connection)] {});
    m_Peer = nullptr;
    m_Connection = nullptr;
  }

  void count(Metric Which, std::string_view CallName, std::uint64_t Count) {
    if (m_Settings.m_Metrics != nullptr) {
      m_Settings.m_Metrics->add(Which, {m_PeerName, std::string(CallName)},
                                Count);
    }
  }

  void countFailure(std::string_view CallName, const char *Failure) {
    if (m_Settings.m_Metrics != nullptr) {
      m_Settings.m_Metrics->add(Metric::PeerFailures,
                                {std::string(CallName), Failure});
    }
  }

  /// Fails with OVERLOADED after \p Pause, or later: while bytes arrive, the
  /// answer may be behind a large update on a slow link, and a new connection
  /// would only bring the update again. Fails at \p Limit at the latest.
  kj::Promise<void> waitForTimeout(Duration Pause, Instant Limit) {
    return m_Loop.timer()
        .afterDelay(toKj(Pause))
        .then([this, Limit]() -> kj::Promise<void> {
          const Instant Now = monotonicNow();
          if (Now - m_LastHeardAt >= SilenceTimeout || Now >= Limit) {
            return KJ_EXCEPTION(OVERLOADED, "no answer within the timeout");
          }
          return waitForTimeout(SilenceCheckInterval, Limit);
        });
  }

  /// Sends \p Call; \p Read converts the results to the reply.
  template <typename Reply, typename Params, typename Results, typename Reader>
  void send(std::string_view CallName, capnp::Request<Params, Results> &&Call,
            Reader Read, Respond<Reply> Respond) {
    ++m_Unanswered;
    count(Metric::PeerCalls, CallName, 1);
    count(Metric::PeerBytes, CallName, sizeInBytes(Call.asReader()));
    auto Self = shared_from_this();
    auto UsedConnection = m_Connection;
    auto Answer =
        Call.send().then([Read](capnp::Response<Results> &&Result) -> Reply {
          return Read(Result);
        });
    auto Timeout =
        waitForTimeout(m_Settings.m_CallTimeout,
                       monotonicNow() + m_Settings.m_CallTimeout * MaxTimeouts)
            .then([]() -> Reply { KJ_UNREACHABLE; });
    m_Loop.spawn(
        Answer.exclusiveJoin(kj::mv(Timeout))
            .then(
                [Self, Respond](Reply Value) {
                  --Self->m_Unanswered;
                  Respond(std::move(Value));
                },
                [Self, UsedConnection, Respond,
                 CallName](kj::Exception &&Error) {
                  --Self->m_Unanswered;
                  // waitForTimeout() fails with OVERLOADED.
                  const bool IsTimeout =
                      Error.getType() == kj::Exception::Type::OVERLOADED;
                  Self->countFailure(CallName, IsTimeout ? "timeout" : "lost");
                  logDebug(Part::Rpc, "A call to {}:{} failed: {}.",
                           Self->m_Settings.m_Address, Self->m_Settings.m_Port,
                           Error.getDescription().cStr());
                  Self->dropConnection(UsedConnection);
                  Respond(std::nullopt);
                }));
  }

  /// Calls \p Make with the peer's interface. If it is not available or too
  /// many calls are unanswered, gives an empty reply on a later turn of the
  /// event loop.
  template <typename Reply, typename Maker>
  void callPeer(std::string_view CallName, const Respond<Reply> &Respond,
                Maker Make) {
    if (m_Unanswered < m_Settings.m_MaxUnanswered) {
      KJ_IF_MAYBE (Peer, peer()) {
        Make(*Peer);
        return;
      }
    }
    countFailure(CallName, "not_sent");
    m_Loop.after(Duration(0), [Respond] { Respond(std::nullopt); });
  }

  IoLoop &m_Loop;                               ///< The event loop.
  const Secret &m_Key;                          ///< The cluster key.
  PeerLinkSettings m_Settings;                  ///< Address, timeouts, limits.
  std::string m_PeerName;                       ///< Label in metrics.
  kj::Maybe<rpc::Peer::Client> m_Peer;          ///< Set while connected.
  std::shared_ptr<PeerConnection> m_Connection; ///< What m_Peer runs over.
  std::uint64_t m_ConnectionNumber = 0;         ///< Number of the connection.
  Instant m_LastHeardAt{};      ///< When bytes last arrived over it.
  Instant m_RetryAt{};          ///< Earliest next connection attempt.
  std::size_t m_Unanswered = 0; ///< Calls without an answer yet.
};

PeerLink::PeerLink(IoLoop &Loop, const Secret &ClusterKey,
                   PeerLinkSettings Settings)
    : m_Impl(std::make_shared<Impl>(Loop, ClusterKey, std::move(Settings))) {}

PeerLink::~PeerLink() = default;

void PeerLink::sendLogMessage(const std::string &Message) {
  const Respond<bool> Ignore = [](std::optional<bool>) {};
  m_Impl->callPeer<bool>("log_message", Ignore, [&](rpc::Peer::Client &Peer) {
    auto Call = Peer.logMessageRequest();
    Call.setMessage(toData(Message));
    m_Impl->send<bool>(
        "log_message", kj::mv(Call), [](auto &) { return true; }, Ignore);
  });
}

void PeerLink::identify(const std::string &From, bool IsLeaving,
                        Respond<IdentifyReply> Reply) {
  m_Impl->callPeer<IdentifyReply>(
      "identify", Reply, [&](rpc::Peer::Client &Peer) {
        auto Call = Peer.identifyRequest();
        Call.setFrom(toText(From));
        Call.setLeaving(IsLeaving);
        m_Impl->send<IdentifyReply>(
            "identify", kj::mv(Call),
            [](auto &Result) {
              IdentifyReply Identity{toString(Result.getVoter()),
                                     Result.getBlank(),
                                     HostId(toString(Result.getHost())),
                                     {},
                                     Result.getConfiguration()};
              for (const auto Member : Result.getMembers()) {
                Identity.m_Members.push_back(toString(Member));
              }
              return Identity;
            },
            Reply);
      });
}

void PeerLink::openSession(const EntryAddress &Self, Incarnation Run,
                           UpdateHandler Updates,
                           Respond<OpenSessionReply> Reply) {
  m_Impl->callPeer<OpenSessionReply>(
      "open_session", Reply, [&](rpc::Peer::Client &Peer) {
        auto Call = Peer.openSessionRequest();
        writeRpc(Call.initHost(), Self);
        Call.setIncarnation(Run.value());
        Call.setListener(kj::heap<ListenerServer>(std::move(Updates)));
        m_Impl->send<OpenSessionReply>(
            "open_session", kj::mv(Call),
            [](auto &Result) {
              return OpenSessionReply{readRpc(Result.getStatus()),
                                      ControlSessionId(Result.getSession())};
            },
            Reply);
      });
}

void PeerLink::renew(const LeaseRenewal &Renewal, Respond<RenewReply> Reply) {
  m_Impl->callPeer<RenewReply>("renew", Reply, [&](rpc::Peer::Client &Peer) {
    auto Call = Peer.renewRequest();
    Call.setSession(Renewal.m_Session.value());
    Call.setSequence(Renewal.m_Sequence);
    writeRpc(Call.initConfirmation(),
             Confirmation{Renewal.m_Confirmed, Renewal.m_Catalogue,
                          Renewal.m_Homes});
    auto Demand =
        Call.initDemand(static_cast<unsigned>(Renewal.m_Demand.size()));
    unsigned Position = 0;
    for (const ShareDemand &Row : Renewal.m_Demand) {
      writeRpc(Demand[Position++], Row);
    }
    Call.setServesAll(!Renewal.m_ServedGroups);
    if (Renewal.m_ServedGroups) {
      writeRpc(Call.initServed(
                   static_cast<unsigned>(Renewal.m_ServedGroups->size())),
               *Renewal.m_ServedGroups);
    }
    m_Impl->send<RenewReply>(
        "renew", kj::mv(Call),
        [](auto &Result) {
          return RenewReply{readRpc(Result.getStatus()),
                            Duration(Result.getLeaseUs()),
                            readRpc(Result.getUpdate())};
        },
        Reply);
  });
}

void PeerLink::report(ControlSessionId Session,
                      const std::vector<ServerAnnouncement> &Announcements,
                      const std::vector<ServerSuspicion> &Suspicions,
                      Respond<ControlStatus> Reply) {
  m_Impl->callPeer<ControlStatus>(
      "report", Reply, [&](rpc::Peer::Client &Peer) {
        auto Call = Peer.reportRequest();
        Call.setSession(Session.value());
        auto First =
            Call.initAnnouncements(static_cast<unsigned>(Announcements.size()));
        unsigned Position = 0;
        for (const ServerAnnouncement &Announcement : Announcements) {
          writeRpc(First[Position++], Announcement);
        }
        auto Second =
            Call.initSuspicions(static_cast<unsigned>(Suspicions.size()));
        Position = 0;
        for (const ServerSuspicion &Suspicion : Suspicions) {
          writeRpc(Second[Position++], Suspicion);
        }
        m_Impl->send<ControlStatus>(
            "report", kj::mv(Call),
            [](auto &Result) { return readRpc(Result.getStatus()); }, Reply);
      });
}

void PeerLink::command(const std::string &Command,
                       Respond<CommandReply> Reply) {
  m_Impl->callPeer<CommandReply>(
      "command", Reply, [&](rpc::Peer::Client &Peer) {
        auto Call = Peer.commandRequest();
        Call.setCommand(toData(Command));
        m_Impl->send<CommandReply>(
            "command", kj::mv(Call),
            [](auto &Result) { return readRpc(Result.getResult()); }, Reply);
      });
}

void PeerLink::query(const std::string &QueryKind, const std::string &Name,
                     Respond<QueryReply> Reply) {
  m_Impl->callPeer<QueryReply>("query", Reply, [&](rpc::Peer::Client &Peer) {
    auto Call = Peer.queryRequest();
    Call.setWhat(toText(QueryKind));
    Call.setName(toText(Name));
    m_Impl->send<QueryReply>(
        "query", kj::mv(Call),
        [](auto &Result) {
          return QueryReply{readRpc(Result.getStatus()),
                            toString(Result.getJson())};
        },
        Reply);
  });
}

void PeerLink::takePermits(ControlSessionId Session,
                           const std::vector<PermitDemand> &Demands,
                           Respond<TakePermitsReply> Reply) {
  m_Impl->callPeer<TakePermitsReply>(
      "take_permits", Reply, [&](rpc::Peer::Client &Peer) {
        auto Call = Peer.takePermitsRequest();
        Call.setSession(Session.value());
        auto Rows = Call.initDemands(static_cast<unsigned>(Demands.size()));
        unsigned Position = 0;
        for (const PermitDemand &Demand : Demands) {
          auto Row = Rows[Position++];
          Row.setWorkspace(toText(Demand.m_Workspace.value()));
          Row.setNeeded(Demand.m_Needed);
          Row.setSpare(Demand.m_Spare);
        }
        m_Impl->send<TakePermitsReply>(
            "take_permits", kj::mv(Call),
            [](auto &Result) {
              TakePermitsReply Taken;
              Taken.m_Status = readRpc(Result.getStatus());
              Taken.m_Grants.m_Validity = Duration(Result.getValidityUs());
              for (const auto Row : Result.getGrants()) {
                Taken.m_Grants.m_Grants.push_back(
                    {Row.getPermits(), Duration(Row.getRetryAfterUs()),
                     Row.getPlenty()});
              }
              return Taken;
            },
            Reply);
      });
}

void PeerLink::storeSessionPoint(const SessionPointEntry &Entry,
                                 Respond<bool> Reply) {
  m_Impl->callPeer<bool>("store_point", Reply, [&](rpc::Peer::Client &Peer) {
    auto Call = Peer.storeSessionPointRequest();
    writePointKey(Call, Entry.m_Key);
    writeRpc(Call.initPoint(), Entry.m_Point);
    writeRpc(Call.initTicket(), Entry.m_Ticket);
    m_Impl->send<bool>(
        "store_point", kj::mv(Call),
        [](auto &Result) { return Result.getStored(); }, Reply);
  });
}

void PeerLink::findSessionPoint(const SessionPointKey &Key,
                                Respond<SessionLookup> Reply) {
  m_Impl->callPeer<SessionLookup>(
      "find_point", Reply, [&](rpc::Peer::Client &Peer) {
        auto Call = Peer.findSessionPointRequest();
        writePointKey(Call, Key);
        m_Impl->send<SessionLookup>(
            "find_point", kj::mv(Call),
            [](auto &Result) {
              return SessionLookup{
                  readRpc(Result.getPoint()),
                  readRpc(Result.getTicket()).value_or(SessionTicket())};
            },
            Reply);
      });
}

const PeerLinkSettings &PeerLink::settings() const {
  return m_Impl->m_Settings;
}

} // namespace ragwortmux
