#include "ragwortmux/Process/Peers/RelayLink.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Peers/PeerConnection.h"
#include "ragwortmux/Process/Peers/PeerLink.h"
#include "ragwortmux/Process/Peers/RelayCodec.h"
#include "ragwortmux/Process/Support/Log.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ragwortmux {

namespace {

/// Interval of the checks for silence.
constexpr Duration CheckInterval = std::chrono::milliseconds(50);
/// Interval of the checks for the end of an established connection.
constexpr Duration EndCheckInterval = std::chrono::milliseconds(250);
/// The pause between two attempts to connect doubles up to this.
constexpr Duration MaxReconnectPause = std::chrono::seconds(1);

/// Largest statement that is sent, with the session's state; a message of Cap'n
/// Proto must be below 64 MiB, and the error of a larger one does not tell that
/// the statement did not run.
constexpr std::uint64_t MaxStatementWords = (32U << 20U) / sizeof(capnp::word);

/// An unanswered statement.
struct PendingStatement final {
  SessionRequest m_Request;                  ///< The statement.
  RelayLink::Respond<SessionAnswer> m_Reply; ///< Gets the answer.
  bool m_IsSent = false;    ///< It was sent, so it may have run.
  bool m_IsRefused = false; ///< It will be refused without being sent.
};

SessionAnswer refusal(const SessionRequest &Request, ResultCode Code) {
  SessionAnswer Answer;
  Answer.m_Request = Request.m_Id;
  Answer.m_Caller = Request.m_Caller;
  Answer.m_Group = Request.m_Entry->m_Group;
  Answer.m_Code = Code;
  return Answer;
}

} // namespace

struct RelayLink::Impl final : std::enable_shared_from_this<Impl> {
  Impl(IoLoop &Loop, const Secret &Key, PeerLinkSettings LinkSettings,
       RelayLinkHooks LinkHooks)
      : m_Loop(Loop), m_Key(Key), m_Settings(std::move(LinkSettings)),
        m_Hooks(std::move(LinkHooks)),
        m_RetryPause(m_Settings.m_ReconnectPause) {}

  /// Makes \p Work a task that does nothing after the end of the link.
  template <typename Function> auto whileAlive(Function Work) {
    return [Weak = weak_from_this(), Work](auto &&...Values) {
      if (const auto Self = Weak.lock()) {
        Work(*Self, std::forward<decltype(Values)>(Values)...);
      }
    };
  }

  /// Adds a statement; returns its number.
  std::uint64_t add(const SessionRequest &Request,
                    Respond<SessionAnswer> Reply) {
    const std::uint64_t Number = ++m_LastNumber;
    m_Pending[Number] = {Request, std::move(Reply)};
    return Number;
  }

  /// Answers a statement, unless it has been answered.
  void answer(std::uint64_t Number, std::optional<SessionAnswer> Answer) {
    auto Node = m_Pending.extract(Number);
    if (Node.empty()) {
      return;
    }
    if (Answer) {
      Answer->m_Request = Node.mapped().m_Request.m_Id;
      Answer->m_Caller = Node.mapped().m_Request.m_Caller;
      Answer->m_Group = Node.mapped().m_Request.m_Entry->m_Group;
    }
    Node.mapped().m_Reply(std::move(Answer));
  }

  /// Refuses a statement that was not sent, on a later turn of the event loop.
  void refuseLater(std::uint64_t Number, PendingStatement &Statement,
                   ResultCode Code) {
    Statement.m_IsRefused = true;
    m_Loop.after(Duration(0), whileAlive([Number, Code](Impl &Self) {
                   const auto Found = Self.m_Pending.find(Number);
                   if (Found == Self.m_Pending.end()) {
                     return;
                   }
                   Self.answer(Number, refusal(Found->second.m_Request, Code));
                 }));
  }

  /// Answers all statements after the end of the connection.
  void answerAll() {
    // A reply may submit further statements or destroy the link.
    const std::uint64_t Last = m_LastNumber;
    while (!m_Pending.empty() && m_Pending.begin()->first <= Last) {
      const auto &[Number, Statement] = *m_Pending.begin();
      if (Statement.m_IsSent) {
        answer(Number, std::nullopt);
        continue;
      }
      answer(Number,
             refusal(Statement.m_Request, ResultCode::NotRunNoConnection));
    }
  }

  void connect() {
    ++m_ConnectionNumber;
    m_Connection = std::make_shared<PeerConnection>(
        whileAlive([](Impl &Self) { Self.m_HeardAnything = true; }));
    auto Opening = m_Connection
                       ->connect(m_Loop, m_Key, m_Settings.m_OwnHost,
                                 m_Settings.m_Address, m_Settings.m_Port)
                       .then([](rpc::Peer::Client &&Peer) {
                         return Peer.openRelayRequest().send();
                       });
    m_Loop.spawn(
        m_Loop.timer()
            .timeoutAfter(toKj(m_Settings.m_CallTimeout), kj::mv(Opening))
            .then(whileAlive(
                      [Used = m_ConnectionNumber](Impl &Self, auto &&Result) {
                        Self.established(Used, Result.getRelay());
                      }),
                  whileAlive([Used = m_ConnectionNumber](
                                 Impl &Self, kj::Exception &&Error) {
                    Self.drop(Used, Error.getDescription().cStr());
                  })));
  }

  void established(std::uint64_t Used, rpc::StatementRelay::Client Relay) {
    if (Used != m_ConnectionNumber) {
      return;
    }
    m_Relay = kj::mv(Relay);
    m_HasFailed = false;
    m_RetryPause = m_Settings.m_ReconnectPause;
    resetCheck();
    for (auto &[Number, Statement] : m_Pending) {
      if (Statement.m_IsRefused) {
        continue;
      }
      send(Number, Statement);
    }
    watchEnd(Used);
  }

  /// Drops the connection number \p Used soon after its end, also while no
  /// statement is unanswered.
  void watchEnd(std::uint64_t Used) {
    if (Used != m_ConnectionNumber) {
      return;
    }
    if (hasEnded()) {
      drop(Used, "it has ended");
      return;
    }
    m_Loop.after(EndCheckInterval,
                 whileAlive([Used](Impl &Self) { Self.watchEnd(Used); }));
  }

  /// True if the established connection is known to have ended. Sends nothing.
  bool hasEnded() {
    KJ_IF_MAYBE (Relay, m_Relay) {
      // A new request belongs to its connection only until that has ended.
      kj::Own<capnp::RequestHook> Unsent =
          capnp::RequestHook::from(Relay->pingRequest());
      return Unsent->getBrand() == nullptr;
    }
    return false;
  }

  /// Drops an ended connection on a later turn of the event loop, which answers
  /// the statements that were not sent over it.
  void dropLater() {
    m_Loop.after(Duration(0),
                 whileAlive([Used = m_ConnectionNumber](Impl &Self) {
                   Self.drop(Used, "it has ended");
                 }));
  }

  void send(std::uint64_t Number, PendingStatement &Statement) {
    if (hasEnded()) {
      dropLater();
      return;
    }
    KJ_IF_MAYBE (Relay, m_Relay) {
      auto Call = Relay->runRequest();
      writeRpc(Call.initStatement(), Statement.m_Request, monotonicNow());
      if (Call.totalSize().wordCount > MaxStatementWords) {
        refuseLater(Number, Statement, ResultCode::NotRunBadRequest);
        return;
      }
      Statement.m_IsSent = true;
      auto Reading = Call.send().then(
          [](auto &&Result) { return readRpc(Result.getAnswer()); });
      m_Loop.spawn(Reading.then(
          whileAlive([Number](Impl &Self, std::optional<SessionAnswer> Answer) {
            Self.answer(Number, std::move(Answer));
          }),
          whileAlive([Number, Used = m_ConnectionNumber](
                         Impl &Self, kj::Exception &&Error) {
            Self.callFailed(Number, Used, Error);
          })));
      scheduleCheck();
    }
  }

  void callFailed(std::uint64_t Number, std::uint64_t Used,
                  const kj::Exception &Error) {
    if (Error.getType() == kj::Exception::Type::DISCONNECTED) {
      drop(Used, Error.getDescription().cStr());
    }
    answer(Number, std::nullopt);
  }

  /// Ends the connection number \p Failed, unless it has ended.
  void drop(std::uint64_t Failed, const char *Reason) {
    if (Failed != m_ConnectionNumber) {
      return;
    }
    const bool WasEstablished = m_Relay != nullptr;
    logFailure(WasEstablished, Reason);
    releaseConnection();
    m_HasFailed = true;
    m_Loop.after(m_RetryPause, whileAlive([](Impl &Self) { Self.connect(); }));
    m_RetryPause = std::min(m_RetryPause * 2, MaxReconnectPause);
    // The replies and the hook may destroy the link.
    const auto Self = shared_from_this();
    answerAll();
    if (WasEstablished && m_Hooks.m_Lost) {
      m_Hooks.m_Lost();
    }
  }

  void logFailure(bool WasEstablished, const char *Reason) const {
    if (WasEstablished) {
      logInfo(Part::Rpc, "Lost the relay connection to {}:{}: {}.",
              m_Settings.m_Address, m_Settings.m_Port, Reason);
      return;
    }
    logDebug(Part::Rpc, "Could not open a relay connection to {}:{}: {}.",
             m_Settings.m_Address, m_Settings.m_Port, Reason);
  }

  /// Releases the connection on a later turn of the event loop, because it must
  /// not be destroyed by one of its own callbacks.
  void releaseConnection() {
    m_Loop.after(
        Duration(0),
        [Relay = std::make_shared<kj::Maybe<rpc::StatementRelay::Client>>(
             kj::mv(m_Relay)),
         Old = std::move(m_Connection)] {});
    m_Relay = nullptr;
    m_Connection = nullptr;
    ++m_ConnectionNumber;
  }

  /// Checks the connection regularly while statements are unanswered.
  void scheduleCheck() {
    if (m_IsChecking) {
      return;
    }
    m_IsChecking = true;
    m_Loop.after(CheckInterval, whileAlive([](Impl &Self) {
                   Self.m_IsChecking = false;
                   Self.check();
                 }));
  }

  void check() {
    if (m_Pending.empty() || m_Relay == nullptr) {
      resetCheck();
      return;
    }
    scheduleCheck();
    // Time is counted in checks: a pause of this process must not pass for
    // silence of the other one.
    m_Quiet += CheckInterval;
    if (m_HeardAnything) {
      resetCheck();
    }
    if (m_Quiet >= m_Settings.m_PingInterval && !m_PingSent) {
      ping();
    }
    if (m_Quiet >= m_Settings.m_PingInterval + m_Settings.m_SilenceLimit) {
      drop(m_ConnectionNumber, "it has fallen silent");
    }
  }

  void resetCheck() {
    m_HeardAnything = false;
    m_PingSent = false;
    m_Quiet = Duration(0);
  }

  void ping() {
    KJ_IF_MAYBE (Relay, m_Relay) {
      m_PingSent = true;
      m_Loop.spawn(Relay->pingRequest().send().then(
          [](auto &&) {}, // The connection reports the bytes of the answer.
          whileAlive(
              [Used = m_ConnectionNumber](Impl &Self, kj::Exception &&Error) {
                Self.drop(Used, Error.getDescription().cStr());
              })));
    }
  }

  IoLoop &m_Loop;                               ///< The event loop.
  const Secret &m_Key;                          ///< The cluster key.
  PeerLinkSettings m_Settings;                  ///< Address, timeouts, limits.
  RelayLinkHooks m_Hooks;                       ///< Hooks of the owner.
  std::shared_ptr<PeerConnection> m_Connection; ///< Null while there is none.
  kj::Maybe<rpc::StatementRelay::Client>
      m_Relay; ///< Set while the connection is established.
  std::map<std::uint64_t, PendingStatement>
      m_Pending;                  ///< Unanswered statements by number.
  std::uint64_t m_LastNumber = 0; ///< Number of the newest statement.
  Duration m_RetryPause;          ///< Pause before the next attempt to connect.
  std::uint64_t m_ConnectionNumber =
      0; ///< Number of the connection; calls keep it and not the connection,
         ///< which would otherwise not end before they do.
  bool m_HasFailed = false;     ///< The newest connection or attempt failed.
  bool m_IsChecking = false;    ///< A check is scheduled.
  bool m_HeardAnything = false; ///< Bytes came since the last check.
  bool m_PingSent = false;      ///< A ping was sent since bytes came.
  Duration m_Quiet{0};          ///< Time since bytes came.
};

RelayLink::RelayLink(IoLoop &Loop, const Secret &ClusterKey,
                     PeerLinkSettings Settings, RelayLinkHooks Hooks)
    : m_Impl(std::make_shared<Impl>(Loop, ClusterKey, std::move(Settings),
                                    std::move(Hooks))) {}

RelayLink::~RelayLink() {
  const std::shared_ptr<Impl> Ended = std::move(m_Impl);
  Ended->m_Hooks = {};
  Ended->releaseConnection();
  Ended->answerAll();
}

void RelayLink::run(const SessionRequest &Request,
                    Respond<SessionAnswer> Reply) {
  const bool IsFull =
      m_Impl->m_Pending.size() >= m_Impl->m_Settings.m_MaxUnanswered;
  const std::uint64_t Number = m_Impl->add(Request, std::move(Reply));
  PendingStatement &Statement = m_Impl->m_Pending.at(Number);
  if (IsFull) {
    m_Impl->refuseLater(Number, Statement, ResultCode::NotRunQueueFull);
    return;
  }
  if (!isUsable()) {
    m_Impl->refuseLater(Number, Statement, ResultCode::NotRunNoConnection);
    return;
  }
  if (!m_Impl->m_Connection) {
    m_Impl->connect();
  }
  m_Impl->send(Number, Statement);
}

void RelayLink::callerDisconnected(CallerConnectionId Caller) {
  for (auto &[Number, Statement] : m_Impl->m_Pending) {
    if (Statement.m_Request.m_Caller != Caller || Statement.m_IsSent ||
        Statement.m_IsRefused) {
      continue;
    }
    m_Impl->refuseLater(Number, Statement, ResultCode::NotRunNoConnection);
  }
  KJ_IF_MAYBE (Relay, m_Impl->m_Relay) {
    auto Call = Relay->callerDisconnectedRequest();
    Call.setCaller(Caller.value());
    m_Impl->m_Loop.spawn(Call.send().ignoreResult().catch_(
        m_Impl->whileAlive([Used = m_Impl->m_ConnectionNumber](
                               RelayLink::Impl &Self, kj::Exception &&Error) {
          Self.drop(Used, Error.getDescription().cStr());
        })));
  }
}

bool RelayLink::isUsable() const { return !m_Impl->m_HasFailed; }

} // namespace ragwortmux
