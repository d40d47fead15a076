#include "ragwortmux/Process/Peers/RelayLink.h"
#include "RelayPeer.h"

#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Peers/PeerLink.h"

#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;

const std::string ClusterKey = "one-key-of-the-cluster";
const std::string OtherKey = "another-key-of-a-cluster";
/// Limit of each wait for a condition.
constexpr Duration WaitLimit = std::chrono::seconds(10);
/// How long a test looks for an event that must not happen.
constexpr Duration QuietTime = milliseconds(200);
/// Shorter than the interval of the checks for the end of a connection.
constexpr Duration ShorterThanEndCheck = milliseconds(20);
/// Later than the end of a silent connection.
constexpr Duration LongerThanSilence = milliseconds(1500);

/// The replies to the statement of one caller.
struct Outcome final {
  int m_Replies = 0;                     ///< Number of replies.
  std::optional<SessionAnswer> m_Answer; ///< The last one.
};

SessionRequest makeRequest(std::uint64_t Caller) {
  CatalogueEntry Entry;
  Entry.m_Name = EntryName("entry");
  Entry.m_Group = GroupId("group");
  Entry.m_Class = TrafficClass::PrimarySession;
  SessionRequest Request;
  Request.m_Id = RequestId(1000 + Caller);
  Request.m_Caller = CallerConnectionId(Caller);
  Request.m_Entry = std::make_shared<const CatalogueEntry>(Entry);
  Request.m_Statement.m_Text = "text";
  Request.m_State = std::make_shared<const SessionState>();
  Request.m_Arrived = monotonicNow();
  return Request;
}

SessionAnswer makeAnswer(std::string Body) {
  SessionAnswer Answer;
  Answer.m_Request = RequestId(5);
  Answer.m_Caller = CallerConnectionId(6);
  Answer.m_Group = GroupId("other");
  Answer.m_Body = std::make_shared<const std::string>(std::move(Body));
  return Answer;
}

/// A process of its own that takes statements and never answers them.
class ForkedPeer final {
public:
  ForkedPeer() {
    std::array<int, 2> Pipe{};
    BOOST_REQUIRE(pipe(Pipe.data()) == 0);
    m_Process = fork();
    BOOST_REQUIRE(m_Process >= 0);
    if (m_Process == 0) {
      serve(Pipe[1]);
    }
    close(Pipe[1]);
    m_Input = Pipe[0];
    BOOST_REQUIRE(read(m_Input, &m_Port, sizeof m_Port) == sizeof m_Port);
  }

  ~ForkedPeer() {
    kill(m_Process, SIGKILL);
    waitpid(m_Process, nullptr, 0);
    close(m_Input);
  }
  ForkedPeer(const ForkedPeer &) = delete;
  ForkedPeer &operator=(const ForkedPeer &) = delete;

  std::uint16_t port() const { return m_Port; }
  void signal(int Number) const { kill(m_Process, Number); }
  /// True if a statement has arrived; waits for it.
  bool waitForStatement() const {
    char Byte = 0;
    return read(m_Input, &Byte, 1) == 1;
  }

private:
  [[noreturn]] static void serve(int Output) {
    // An event loop belongs to a thread, and this one has its parent's.
    std::thread Server([Output] {
      const Secret Key(ClusterKey);
      std::vector<RpcServerHooks::Respond<SessionAnswer>> Unanswered;
      RpcServerHooks Hooks;
      Hooks.m_RunRelayed = [&, Output](RelayPeerId, const SessionRequest &,
                                       auto Respond) {
        Unanswered.push_back(Respond);
        [[maybe_unused]] const ssize_t Written = write(Output, "s", 1);
      };
      IoLoop Loop;
      RpcServer Rpc(Loop, Key, Hooks);
      const std::uint16_t Port = Rpc.listen("127.0.0.1", 0);
      [[maybe_unused]] const ssize_t Written =
          write(Output, &Port, sizeof Port);
      Loop.run();
    });
    Server.join();
    _exit(0);
  }

  pid_t m_Process = 0;
  int m_Input = -1;
  std::uint16_t m_Port = 0;
};

/// Forwards one connection to a port of the loopback interface; what comes back
/// passes in pieces with pauses between them.
class SlowForwarder final {
public:
  SlowForwarder(IoLoop &Loop, std::uint16_t Target)
      : m_Loop(Loop), m_Receiver(Loop.network()
                                     .parseAddress("127.0.0.1", 0)
                                     .wait(Loop.waitScope())
                                     ->listen()),
        m_Task(forward(Target).eagerlyEvaluate([](kj::Exception &&) {})) {}

  std::uint16_t port() {
    return static_cast<std::uint16_t>(m_Receiver->getPort());
  }

private:
  kj::Promise<void> forward(std::uint16_t Target) {
    return m_Receiver->accept()
        .then([this, Target](kj::Own<kj::AsyncIoStream> &&Stream) {
          m_Client = kj::mv(Stream);
          return m_Loop.connect("127.0.0.1", Target);
        })
        .then([this](kj::Own<kj::AsyncIoStream> &&Stream) {
          m_Server = kj::mv(Stream);
          return m_Client->pumpTo(*m_Server).ignoreResult().exclusiveJoin(
              returnPieces());
        });
  }

  kj::Promise<void> returnPieces() {
    return m_Server->tryRead(m_Buffer.data(), 1, m_Buffer.size())
        .then([this](std::size_t Count) -> kj::Promise<void> {
          if (Count == 0) {
            return kj::READY_NOW;
          }
          return m_Client->write(m_Buffer.data(), Count)
              .then([this] {
                return m_Loop.timer().afterDelay(toKj(PiecePause));
              })
              .then([this] { return returnPieces(); });
        });
  }

  static constexpr std::size_t PieceBytes = 16U << 10U;
  static constexpr Duration PiecePause = milliseconds(100);

  IoLoop &m_Loop;
  std::array<kj::byte, PieceBytes> m_Buffer{};
  kj::Own<kj::ConnectionReceiver> m_Receiver;
  kj::Own<kj::AsyncIoStream> m_Client;
  kj::Own<kj::AsyncIoStream> m_Server;
  kj::Promise<void> m_Task;
};

/// A RelayLink on the test's thread.
struct Fixture {
  /// Starts a peer that listens where the previous one did.
  void startPeer(const std::string &Key = ClusterKey, bool Serves = true) {
    m_Peer = std::make_unique<RelayPeer>(Key, m_Port, Serves);
    m_Port = m_Peer->port();
  }

  void startLink(std::size_t MaxUnanswered = 100) {
    PeerLinkSettings Settings;
    Settings.m_OwnHost = HostId("front");
    Settings.m_Address = "127.0.0.1";
    Settings.m_Port = m_Port;
    Settings.m_CallTimeout = m_ConnectTimeout;
    Settings.m_MaxUnanswered = MaxUnanswered;
    RelayLinkHooks Hooks;
    Hooks.m_Lost = [this] { ++m_Lost; };
    m_Link = std::make_unique<RelayLink>(m_Loop, m_Key, Settings, Hooks);
  }

  /// Records a reply in m_Outcomes.
  RelayLink::Respond<SessionAnswer> replyTo(std::uint64_t Caller) {
    return [this, Caller](std::optional<SessionAnswer> Answer) {
      Outcome &Result = m_Outcomes[Caller];
      ++Result.m_Replies;
      Result.m_Answer = std::move(Answer);
    };
  }

  /// Runs a statement of \p Caller; its outcome is in m_Outcomes.
  void run(std::uint64_t Caller) {
    m_Link->run(makeRequest(Caller), replyTo(Caller));
  }

  void runFor(Duration Length) {
    m_Loop.timer().afterDelay(toKj(Length)).wait(m_Loop.waitScope());
  }

  /// Runs the loop until \p Condition is true; false after WaitLimit.
  bool waitFor(const std::function<bool()> &Condition) {
    const Instant Limit = monotonicNow() + WaitLimit;
    while (!Condition()) {
      if (monotonicNow() > Limit) {
        return false;
      }
      runFor(milliseconds(1));
    }
    return true;
  }

  bool waitForReply(std::uint64_t Caller) {
    return waitFor([&] { return m_Outcomes[Caller].m_Replies > 0; });
  }

  bool waitForArrivals(std::size_t Count) {
    return waitFor([&] { return m_Peer->statements() >= Count; });
  }

  /// Runs a statement of caller 1 to its end, then ends the peer.
  void endIdleConnection() {
    startPeer();
    startLink();
    run(1);
    BOOST_REQUIRE(waitForArrivals(1));
    m_Peer->answer(0, makeAnswer("done"));
    BOOST_REQUIRE(waitForReply(1));
    m_Peer.reset();
  }

  bool wasNotRun(std::uint64_t Caller, ResultCode Code) {
    const Outcome &Result = m_Outcomes[Caller];
    return Result.m_Answer && Result.m_Answer->m_Code == Code &&
           Result.m_Answer->m_Caller == CallerConnectionId(Caller) &&
           Result.m_Answer->m_Group == GroupId("group");
  }

  IoLoop m_Loop;
  Secret m_Key{ClusterKey};
  std::uint16_t m_Port = 0;
  Duration m_ConnectTimeout = milliseconds(300);
  std::unique_ptr<RelayPeer> m_Peer;
  std::map<std::uint64_t, Outcome> m_Outcomes; ///< By caller.
  int m_Lost = 0;
  std::unique_ptr<RelayLink> m_Link;
};

/// How a connection with an unanswered statement ends.
struct EndRow final {
  const char *m_Case;
  std::function<void(Fixture &)> m_End;
  std::function<void(Fixture &)> m_CleanUp;
  int m_Lost;
};

const std::array EndRows = {
    EndRow{"the peer ends", [](Fixture &Test) { Test.m_Peer.reset(); },
           [](Fixture &) {}, 1},
    EndRow{"the peer falls silent", [](Fixture &Test) { Test.m_Peer->block(); },
           [](Fixture &Test) { Test.m_Peer->unblock(); }, 1},
    EndRow{"the link is destroyed", [](Fixture &Test) { Test.m_Link.reset(); },
           [](Fixture &) {}, 0},
};

/// Why a statement is not sent.
struct NotSentRow final {
  const char *m_Case;
  std::function<void(Fixture &)> m_Prepare; ///< Before the statement.
  std::function<void(Fixture &)> m_Afterwards;
};

const std::array NotSentRows = {
    NotSentRow{"nothing listens",
               [](Fixture &Test) {
                 Test.startPeer();
                 Test.m_Peer.reset();
               },
               [](Fixture &) {}},
    NotSentRow{"the peer has another key",
               [](Fixture &Test) { Test.startPeer(OtherKey); },
               [](Fixture &) {}},
    NotSentRow{"the peer is silent",
               [](Fixture &Test) {
                 Test.startPeer();
                 Test.m_Peer->block();
               },
               [](Fixture &Test) {
                 BOOST_TEST(Test.waitForReply(1));
                 Test.m_Peer->unblock();
               }},
    NotSentRow{"the peer does not serve relays",
               [](Fixture &Test) { Test.startPeer(ClusterKey, false); },
               [](Fixture &) {}},
    NotSentRow{"the link is destroyed while it connects",
               [](Fixture &Test) { Test.startPeer(); },
               [](Fixture &Test) { Test.m_Link.reset(); }},
    NotSentRow{"the caller leaves while the link connects",
               [](Fixture &Test) { Test.startPeer(); },
               [](Fixture &Test) {
                 Test.m_Link->callerDisconnected(CallerConnectionId(1));
               }},
};

struct SignalRow final {
  const char *m_Case;
  int m_Signal;
};

constexpr std::array SignalRows = {SignalRow{"killed", SIGKILL},
                                   SignalRow{"stopped", SIGSTOP}};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayLinkTest)

BOOST_FIXTURE_TEST_CASE(AnAnswerReachesItsStatement, Fixture) {
  startPeer();
  startLink();
  for (const std::uint64_t Caller : {1, 2, 3}) {
    run(Caller);
  }
  BOOST_REQUIRE(waitForArrivals(3));
  // The last statement is answered first.
  for (const std::size_t Index : {2, 0, 1}) {
    const SessionRequest Arrived = m_Peer->statement(Index);
    BOOST_TEST(Arrived.m_Caller.value() == Index + 1);
    BOOST_TEST(Arrived.m_Id.value() == 1000 + Index + 1);
    BOOST_TEST(Arrived.m_Statement.m_Text == "text");
    m_Peer->answer(Index, makeAnswer(std::to_string(Index + 1)));
    BOOST_REQUIRE(waitForReply(Index + 1));
  }
  for (const auto &[Caller, Result] : m_Outcomes) {
    BOOST_TEST(Result.m_Replies == 1);
    BOOST_REQUIRE(Result.m_Answer.has_value());
    BOOST_TEST(*Result.m_Answer->m_Body == std::to_string(Caller));
    BOOST_TEST(Result.m_Answer->m_Caller.value() == Caller);
    BOOST_TEST(Result.m_Answer->m_Request.value() == 1000 + Caller);
    BOOST_TEST(Result.m_Answer->m_Group.value() == "group");
  }
}

BOOST_AUTO_TEST_CASE(EachStatementGetsOneReplyWhenItsConnectionEnds) {
  for (const EndRow &Row : EndRows) {
    BOOST_TEST_CONTEXT(Row.m_Case) {
      Fixture Test;
      Test.startPeer();
      Test.startLink();
      Test.run(1);
      Test.run(2);
      BOOST_REQUIRE(Test.waitForArrivals(2));
      Row.m_End(Test);
      const bool Replied = Test.waitForReply(1) && Test.waitForReply(2);
      const int Lost = Test.m_Lost;
      const bool IsUsable = Test.m_Link && Test.m_Link->isUsable();
      Row.m_CleanUp(Test);
      BOOST_TEST(Replied);
      Test.runFor(QuietTime);
      for (const std::uint64_t Caller : {1, 2}) {
        BOOST_TEST(Test.m_Outcomes[Caller].m_Replies == 1);
        BOOST_TEST(!Test.m_Outcomes[Caller].m_Answer.has_value());
      }
      BOOST_TEST(Lost == Row.m_Lost);
      BOOST_TEST(Test.m_Lost == Row.m_Lost);
      BOOST_TEST(!IsUsable);
      if (!Test.m_Peer) {
        continue;
      }
      BOOST_TEST(Test.waitFor([&] { return !Test.m_Peer->closed().empty(); }));
      BOOST_TEST((Test.m_Peer->closed() ==
                  std::vector<RelayPeerId>{Test.m_Peer->connectionOf(0)}));
    }
  }
}

BOOST_AUTO_TEST_CASE(EachStatementGetsOneReplyWhenThePeerIsSignalled) {
  for (const SignalRow &Row : SignalRows) {
    BOOST_TEST_CONTEXT(Row.m_Case) {
      const ForkedPeer Peer;
      Fixture Test;
      Test.m_Port = Peer.port();
      Test.startLink();
      Test.run(1);
      Test.runFor(QuietTime);
      BOOST_REQUIRE(Peer.waitForStatement());
      Peer.signal(Row.m_Signal);
      BOOST_TEST(Test.waitForReply(1));
      Test.runFor(QuietTime);
      BOOST_TEST(Test.m_Outcomes[1].m_Replies == 1);
      BOOST_TEST(!Test.m_Outcomes[1].m_Answer.has_value());
      BOOST_TEST(Test.m_Lost == 1);
      BOOST_TEST(!Test.m_Link->isUsable());
    }
  }
}

BOOST_AUTO_TEST_CASE(AStatementThatIsNotSentIsAnsweredAsNotRun) {
  for (const NotSentRow &Row : NotSentRows) {
    BOOST_TEST_CONTEXT(Row.m_Case) {
      Fixture Test;
      Row.m_Prepare(Test);
      Test.startLink();
      Test.run(1);
      Row.m_Afterwards(Test);
      BOOST_TEST(Test.waitForReply(1));
      Test.runFor(QuietTime);
      BOOST_TEST(Test.m_Outcomes[1].m_Replies == 1);
      BOOST_TEST(Test.wasNotRun(1, ResultCode::NotRunNoConnection));
      BOOST_TEST(Test.m_Lost == 0);
      if (Test.m_Peer) {
        BOOST_TEST(Test.m_Peer->statements() == 0U);
      }
    }
  }
}

// A serving host restarts while nothing is under way on a connection to it. The
// next statement is certainly not run there, so a write must not become outcome
// unknown, and the transactions on the connection are lost.
BOOST_FIXTURE_TEST_CASE(TheEndOfAnIdleConnectionIsNoticed, Fixture) {
  endIdleConnection();
  runFor(LongerThanSilence);
  BOOST_TEST(m_Lost == 1);
  run(2);
  BOOST_REQUIRE(waitForReply(2));
  BOOST_TEST(m_Outcomes[2].m_Answer.has_value());
  BOOST_TEST(wasNotRun(2, ResultCode::NotRunNoConnection));
}

// The statement follows the end of the connection before a check for it.
BOOST_FIXTURE_TEST_CASE(AStatementIsNotSentOverAnEndedConnection, Fixture) {
  endIdleConnection();
  runFor(ShorterThanEndCheck);
  run(2);
  // The caller of run() must not be called back from within.
  BOOST_TEST(m_Outcomes[2].m_Replies == 0);
  BOOST_REQUIRE(waitForReply(2));
  BOOST_TEST(wasNotRun(2, ResultCode::NotRunNoConnection));
  runFor(QuietTime);
  BOOST_TEST(m_Outcomes[2].m_Replies == 1);
  BOOST_TEST(m_Lost == 1);
}

BOOST_FIXTURE_TEST_CASE(ASlowStatementKeepsItsConnection, Fixture) {
  startPeer();
  startLink();
  run(1);
  BOOST_REQUIRE(waitForArrivals(1));
  runFor(LongerThanSilence);
  m_Peer->answer(0, makeAnswer("late"));
  BOOST_REQUIRE(waitForReply(1));
  BOOST_REQUIRE(m_Outcomes[1].m_Answer.has_value());
  BOOST_TEST(*m_Outcomes[1].m_Answer->m_Body == "late");
  BOOST_TEST(m_Lost == 0);
}

BOOST_FIXTURE_TEST_CASE(AnAnswerThatArrivesSlowlyKeepsItsConnection, Fixture) {
  startPeer();
  SlowForwarder Forwarder(m_Loop, m_Port);
  m_Port = Forwarder.port();
  m_ConnectTimeout = WaitLimit;
  startLink();
  run(1);
  BOOST_REQUIRE(waitForArrivals(1));
  const std::string Body(400U << 10U, 'x');
  const Instant Start = monotonicNow();
  m_Peer->answer(0, makeAnswer(Body));
  BOOST_REQUIRE(waitForReply(1));
  BOOST_TEST((monotonicNow() - Start > LongerThanSilence));
  BOOST_REQUIRE(m_Outcomes[1].m_Answer.has_value());
  BOOST_TEST((*m_Outcomes[1].m_Answer->m_Body == Body));
  BOOST_TEST(m_Lost == 0);
}

BOOST_FIXTURE_TEST_CASE(LargeAnswersKeepTheirConnection, Fixture) {
  struct Row final {
    std::size_t m_Bytes;
    ResultCode m_Code;
  };
  constexpr std::array Rows = {
      Row{32U << 20U, ResultCode::Ok},
      Row{(32U << 20U) + 1, ResultCode::RanAnswerTooLarge},
      Row{70U << 20U, ResultCode::RanAnswerTooLarge},
  };
  startPeer();
  startLink();
  for (std::size_t Index = 0; Index < Rows.size(); ++Index) {
    run(Index);
    BOOST_REQUIRE(waitForArrivals(Index + 1));
    m_Peer->answer(Index, makeAnswer(std::string(Rows[Index].m_Bytes, 'x')));
    BOOST_REQUIRE(waitForReply(Index));
    const auto &Answer = m_Outcomes[Index].m_Answer;
    BOOST_REQUIRE(Answer.has_value());
    BOOST_TEST((Answer->m_Code == Rows[Index].m_Code));
    const bool IsWhole = Answer->m_Code == ResultCode::Ok;
    BOOST_TEST((Answer->m_Body != nullptr) == IsWhole);
    BOOST_TEST((!IsWhole || Answer->m_Body->size() == Rows[Index].m_Bytes));
  }
  BOOST_TEST(m_Lost == 0);
}

BOOST_FIXTURE_TEST_CASE(ATooLargeStatementKeepsTheConnection, Fixture) {
  constexpr std::size_t Pieces = 70;
  constexpr std::size_t PieceBytes = 1U << 20U;
  startPeer();
  startLink();
  run(1);
  BOOST_REQUIRE(waitForArrivals(1));
  SessionState State;
  for (std::size_t Index = 0; Index < Pieces; ++Index) {
    State.m_Values[std::to_string(Index)] = std::string(PieceBytes, 'x');
  }
  SessionRequest Large = makeRequest(2);
  Large.m_State = std::make_shared<const SessionState>(std::move(State));
  m_Link->run(Large, replyTo(2));
  BOOST_REQUIRE(waitForReply(2));
  BOOST_TEST(wasNotRun(2, ResultCode::NotRunBadRequest));
  m_Peer->answer(0, makeAnswer(""));
  BOOST_REQUIRE(waitForReply(1));
  BOOST_TEST(m_Outcomes[1].m_Answer.has_value());
  BOOST_TEST(m_Lost == 0);
}

BOOST_FIXTURE_TEST_CASE(APauseOfTheSenderKeepsItsConnection, Fixture) {
  startPeer();
  startLink();
  run(1);
  BOOST_REQUIRE(waitForArrivals(1));
  std::this_thread::sleep_for(LongerThanSilence);
  runFor(QuietTime);
  BOOST_TEST(m_Lost == 0);
  m_Peer->answer(0, makeAnswer("late"));
  BOOST_REQUIRE(waitForReply(1));
  BOOST_TEST(m_Outcomes[1].m_Answer.has_value());
}

BOOST_FIXTURE_TEST_CASE(TooManyStatementsAreRefused, Fixture) {
  startPeer();
  startLink(2);
  for (const std::uint64_t Caller : {1, 2, 3}) {
    run(Caller);
  }
  BOOST_REQUIRE(waitForReply(3));
  BOOST_TEST(wasNotRun(3, ResultCode::NotRunQueueFull));
  BOOST_REQUIRE(waitForArrivals(2));
  m_Peer->answer(0, makeAnswer(""));
  BOOST_REQUIRE(waitForReply(1));
  // There is room again.
  run(4);
  BOOST_REQUIRE(waitForArrivals(3));
  BOOST_TEST(m_Peer->statement(2).m_Caller.value() == 4U);
  BOOST_TEST(m_Outcomes[2].m_Replies == 0);
}

BOOST_FIXTURE_TEST_CASE(ADepartureFollowsTheStatementsOfItsCaller, Fixture) {
  startPeer();
  startLink();
  run(1);
  BOOST_REQUIRE(waitForArrivals(1));
  run(2);
  m_Link->callerDisconnected(CallerConnectionId(2));
  run(3);
  BOOST_REQUIRE(waitForArrivals(3));
  const std::vector<std::string> Expected = {"run 1", "run 2", "left 2",
                                             "run 3"};
  BOOST_TEST(m_Peer->events() == Expected, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(AnswersMayComeAfterTheEndOfTheirConnection, Fixture) {
  startPeer();
  startLink();
  run(1);
  BOOST_REQUIRE(waitForArrivals(1));
  m_Link.reset();
  BOOST_REQUIRE(waitFor([&] { return !m_Peer->closed().empty(); }));
  m_Peer->answer(0, makeAnswer("of the first connection"));

  startLink();
  run(2);
  BOOST_REQUIRE(waitForArrivals(2));
  BOOST_TEST((m_Peer->connectionOf(0) != m_Peer->connectionOf(1)));
  m_Peer->answer(1, makeAnswer("of the second connection"));
  BOOST_REQUIRE(waitForReply(2));
  BOOST_TEST(m_Outcomes[2].m_Answer.has_value());
  runFor(QuietTime);
  BOOST_TEST(
      (m_Peer->closed() == std::vector<RelayPeerId>{m_Peer->connectionOf(0)}));
}

BOOST_FIXTURE_TEST_CASE(ThePeerLearnsTheEndOfAnIdleConnection, Fixture) {
  startPeer();
  startLink();
  run(1);
  BOOST_REQUIRE(waitForArrivals(1));
  m_Peer->answer(0, makeAnswer(""));
  BOOST_REQUIRE(waitForReply(1));
  m_Link.reset();
  BOOST_TEST(waitFor([&] { return m_Peer->closed().size() == 1; }));
}

BOOST_FIXTURE_TEST_CASE(TheLinkConnectsAgain, Fixture) {
  startPeer();
  startLink();
  run(1);
  BOOST_REQUIRE(waitForArrivals(1));
  m_Peer.reset();
  BOOST_REQUIRE(waitForReply(1));
  run(2);
  BOOST_REQUIRE(waitForReply(2));
  BOOST_TEST(wasNotRun(2, ResultCode::NotRunNoConnection));

  startPeer();
  BOOST_REQUIRE(waitFor([&] { return m_Link->isUsable(); }));
  run(3);
  BOOST_REQUIRE(waitForArrivals(1));
  m_Peer->answer(0, makeAnswer(""));
  BOOST_REQUIRE(waitForReply(3));
  BOOST_TEST(m_Outcomes[3].m_Answer.has_value());
  BOOST_TEST(m_Lost == 1);
}

BOOST_FIXTURE_TEST_CASE(ASlowStatementKeepsANewConnection, Fixture) {
  startPeer();
  startLink();
  run(1);
  BOOST_REQUIRE(waitForArrivals(1));
  m_Peer->block();
  const bool Replied = waitForReply(1);
  m_Peer->unblock();
  BOOST_REQUIRE(Replied);
  BOOST_REQUIRE(waitFor([&] { return m_Link->isUsable(); }));
  run(2);
  BOOST_REQUIRE(waitForArrivals(2));
  runFor(LongerThanSilence);
  m_Peer->answer(1, makeAnswer(""));
  BOOST_REQUIRE(waitForReply(2));
  BOOST_TEST(m_Outcomes[2].m_Answer.has_value());
  BOOST_TEST(m_Lost == 1);
}

BOOST_FIXTURE_TEST_CASE(AReplyMayDestroyTheLink, Fixture) {
  startPeer();
  startLink();
  m_Link->run(makeRequest(9), [this](auto) { m_Link.reset(); });
  run(1);
  run(2);
  BOOST_REQUIRE(waitForArrivals(3));
  m_Peer.reset();
  BOOST_REQUIRE(waitFor([&] { return m_Link == nullptr; }));
  runFor(QuietTime);
  BOOST_TEST(m_Outcomes[1].m_Replies == 1);
  BOOST_TEST(m_Outcomes[2].m_Replies == 1);
  BOOST_TEST(m_Lost == 0);
}

BOOST_FIXTURE_TEST_CASE(AReplyMaySubmitAgain, Fixture) {
  startPeer();
  startLink();
  m_Link->run(makeRequest(9), [this](auto) { run(1); });
  BOOST_REQUIRE(waitForArrivals(1));
  m_Peer.reset();
  BOOST_REQUIRE(waitForReply(1));
  BOOST_TEST(wasNotRun(1, ResultCode::NotRunNoConnection));
}

BOOST_AUTO_TEST_SUITE_END()
