#include "Cluster.h"

#include "ragwortmux/Process/Support/DigestKey.h"
#include "ragwortmux/Process/Support/KeyText.h"
#include "ragwortmux/Process/Support/WorkspaceJson.h"

#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <future>
#include <latch>
#include <limits>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

constexpr int Accepted = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int Unavailable = 503;
const std::string UnknownKey = "28P01";
const std::string NoLease = "57P03";
const std::string AlphaKey = "secret-of-alpha-4711";
const std::string BetaKey = "secret-of-beta-4712";
/// Time within which every entry host uses an accepted change.
constexpr auto PropagationTimeout = std::chrono::seconds(5);

std::uint64_t revisionIn(const HttpAnswer &Answer) {
  boost::system::error_code Error;
  const auto Value = boost::json::parse(Answer.m_Body, Error);
  return Error || !Value.is_object() || !Value.as_object().contains("revision")
             ? 0
             : Value.as_object().at("revision").to_number<std::uint64_t>(Error);
}

/// Sends one change of the workspace \p Name to \p Host.
HttpAnswer change(const Cluster &System, unsigned Host, const std::string &Name,
                  std::uint64_t Expected, const std::string &ChangeId,
                  const WorkspaceEdit &Edit) {
  const bool IsPut = Edit.m_Action == WorkspaceAction::Put;
  return httpCall(System.httpPort(Host), IsPut ? "PUT" : "POST",
                  "/v1/workspaces/" + Name +
                      "?expect_revision=" + std::to_string(Expected) +
                      "&change_id=" + ChangeId + "&operator=kim&action=" +
                      std::string(workspaceActionName(Edit.m_Action)),
                  formatWorkspaceEdit(Edit));
}

/// Like change(), but sends the change again, with the same id, until control
/// answers it: on a loaded machine an answer may be late or lost.
HttpAnswer changeUntilAnswered(const Cluster &System, unsigned Host,
                               const std::string &Name, std::uint64_t Expected,
                               const std::string &ChangeId,
                               const WorkspaceEdit &Edit) {
  HttpAnswer Answer;
  waitUntil([&] {
    Answer = change(System, Host, Name, Expected, ChangeId, Edit);
    return Answer.m_Status != 0 && Answer.m_Status != Unavailable;
  });
  return Answer;
}

WorkspaceEdit keyEdit(WorkspaceAction Action, const std::string &Key) {
  WorkspaceEdit Edit;
  Edit.m_Action = Action;
  if (Action == WorkspaceAction::RemoveKey)
    Edit.m_KeyDigest = formatDigest(digestKey(Key));
  else
    Edit.m_Keys = {digestKey(Key)};
  return Edit;
}

/// Creates a workspace with one key; returns its revision, 0 if refused.
std::uint64_t createWorkspace(const Cluster &System, const std::string &Name,
                              const std::string &Key) {
  const HttpAnswer Answer = changeUntilAnswered(
      System, 0, Name, 0, "create-" + Name, keyEdit(WorkspaceAction::Put, Key));
  BOOST_TEST(Answer.m_Status == Accepted, Answer.m_Body);
  return revisionIn(Answer);
}

/// Waits until \p Host uses catalogue revision \p Revision.
bool waitForRevision(const Cluster &System, unsigned Host,
                     std::uint64_t Revision) {
  return waitUntil([&] { return System.catalogueRevision(Host) >= Revision; },
                   PropagationTimeout);
}

/// Connects with \p Key as the password, which libpq takes from the
/// environment.
bool connectWithKey(PgClient &Caller, const std::string &Key,
                    const std::string &Options = "") {
  setenv("PGPASSWORD", Key.c_str(), 1);
  const bool IsConnected = Caller.connect(Options, "keyed");
  unsetenv("PGPASSWORD");
  return IsConnected;
}

/// Three hosts, with \p Servers servers and the entry `keyed` that needs a key.
struct KeyedCluster {
  explicit KeyedCluster(unsigned Servers) : m_System({3, Servers, {}, {}}) {
    BOOST_REQUIRE(m_System.start());
    HttpAnswer Answer;
    waitUntil([&] {
      Answer = httpCall(
          m_System.httpPort(0), "PUT",
          "/v1/catalogue/keyed?expect_revision=0&change_id=keyed&operator=kim",
          R"({"name":"keyed","group":"ledger","owner":"o","class":"booking",)"
          R"("requires_key":true})");
      return Answer.m_Status == Accepted;
    });
    BOOST_REQUIRE_MESSAGE(Answer.m_Status == Accepted, Answer.m_Body);
    m_Alpha = createWorkspace(m_System, "alpha", AlphaKey);
    m_Beta = createWorkspace(m_System, "beta", BetaKey);
    for (const unsigned Host : {0U, 1U, 2U})
      BOOST_REQUIRE(waitForRevision(m_System, Host, m_Beta));
  }

  /// SQLSTATE with which \p Host refuses a caller with \p Key; empty if it
  /// accepts it.
  std::string refusalOf(unsigned Host, const std::string &Key) const {
    PgClient Caller(m_System.callerPort(Host));
    return connectWithKey(Caller, Key) ? "" : Caller.lastSqlState();
  }

  /// Removes the only key of alpha and waits until host 0 knows.
  void removeAlphaKey() {
    const HttpAnswer Answer =
        changeUntilAnswered(m_System, 1, "alpha", m_Alpha, "remove",
                            keyEdit(WorkspaceAction::RemoveKey, AlphaKey));
    BOOST_REQUIRE_MESSAGE(Answer.m_Status == Accepted, Answer.m_Body);
    BOOST_REQUIRE(waitForRevision(m_System, 0, revisionIn(Answer)));
  }

  std::string log(unsigned Host) {
    ChildProcess &Process = m_System.host(Host);
    return Process.output() + Process.errors();
  }

  Cluster m_System;
  std::uint64_t m_Alpha = 0; ///< Revision of alpha.
  std::uint64_t m_Beta = 0;  ///< Revision of beta.
};

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

std::string insert(const std::string &Key) {
  return "INSERT INTO hires VALUES ('" + Key + "', '1')";
}

/// What a caller is doing when its key is taken away.
enum class CallerState { Idle, InTransaction };

std::ostream &operator<<(std::ostream &Stream, CallerState State) {
  return Stream << (State == CallerState::Idle ? "idle" : "in a transaction");
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceTest)

BOOST_AUTO_TEST_CASE(KeyOpensItsWorkspaceOnly) {
  KeyedCluster Keyed(3);
  Cluster &System = Keyed.m_System;
  PgClient Alpha(System.callerPort(1));
  BOOST_REQUIRE_MESSAGE(connectWithKey(Alpha, AlphaKey), Alpha.lastReason());
  BOOST_TEST(waitUntil([&] { return Alpha.query(insert("by-alpha")).m_Ok; }));
  for (const unsigned Host : {0U, 1U, 2U}) {
    BOOST_TEST(Keyed.refusalOf(Host, BetaKey) == "");
    BOOST_TEST(Keyed.refusalOf(Host, "no-such-key") == UnknownKey);
    BOOST_TEST(Keyed.refusalOf(Host, AlphaKey + "x") == UnknownKey);
    BOOST_TEST(Keyed.refusalOf(Host, std::string(2000, 'k')) == "08P01");
  }
  // An entry that is open to all asks for no key.
  BOOST_TEST(runOnce(System.callerPort(0), "stock", "SELECT 'open'").m_Ok);
  const std::string Metrics =
      httpCall(System.httpPort(0), "GET", "/metrics").m_Body;
  BOOST_TEST(
      contains(Metrics,
               "ragwortmux_refused_keys_total{workspace=\"no workspace\"} 2"),
      Metrics);
  // The callers are counted once a second.
  BOOST_TEST(waitUntil([&] {
    return contains(httpCall(System.httpPort(1), "GET", "/metrics").m_Body,
                    "ragwortmux_workspace_callers{workspace=\"alpha\"} 1");
  }));
  for (const unsigned Host : {0U, 1U, 2U}) {
    for (const std::string &Key : {AlphaKey, BetaKey}) {
      const std::string Text =
          Keyed.log(Host) + System.status(Host) +
          httpCall(System.httpPort(Host), "GET", "/metrics").m_Body;
      BOOST_TEST(!contains(Text, Key));
      BOOST_TEST(!contains(Text, formatDigest(digestKey(Key))));
    }
  }
}

// A host that has lost control may have missed the change that added the key.
BOOST_AUTO_TEST_CASE(HostWithoutLeaseDoesNotReportKeyAsUnknown) {
  KeyedCluster Keyed(0);
  BOOST_TEST(Keyed.refusalOf(0, "no-such-key") == UnknownKey);
  Keyed.m_System.host(1).kill();
  Keyed.m_System.host(2).kill();
  BOOST_TEST(
      waitUntil([&] { return Keyed.refusalOf(0, "no-such-key") == NoLease; },
                PropagationTimeout));
  BOOST_TEST(Keyed.refusalOf(0, AlphaKey) == "");
}

// The removed key is also the last one of its workspace. A session that lived
// on would keep what its owner has lost the right to; the transaction of a
// caller that reads nothing more would keep its locks.
BOOST_DATA_TEST_CASE(RemovedKeyEndsSession,
                     boost::unit_test::data::make({CallerState::Idle,
                                                   CallerState::InTransaction}),
                     State) {
  KeyedCluster Keyed(3);
  Cluster &System = Keyed.m_System;
  PgClient Alpha(System.callerPort(0));
  PgClient Beta(System.callerPort(0));
  BOOST_REQUIRE(connectWithKey(Alpha, AlphaKey));
  BOOST_REQUIRE(connectWithKey(Beta, BetaKey));
  BOOST_REQUIRE(waitUntil([&] { return Alpha.query(insert("before")).m_Ok; }));
  if (State == CallerState::InTransaction) {
    BOOST_REQUIRE(Alpha.query("BEGIN").m_Ok);
    BOOST_REQUIRE(Alpha.query(insert("uncommitted")).m_Ok);
  }
  Keyed.removeAlphaKey();
  // One line for the key, not one for each catalogue change.
  BOOST_TEST(waitUntil([&] {
    return contains(Keyed.log(0), "A key was taken away from connected "
                                  "callers.");
  }));
  BOOST_TEST(contains(Keyed.log(0), formatShortDigest(digestKey(AlphaKey))));
  const PgAnswer Refused = Alpha.query(
      State == CallerState::InTransaction ? "COMMIT" : insert("after"));
  BOOST_TEST(!Refused.m_Ok);
  BOOST_TEST(Refused.m_SqlState == UnknownKey, Refused.m_Message);
  const PgAnswer Closed = Alpha.query("SELECT 1");
  BOOST_TEST(!Closed.m_Ok);
  BOOST_TEST(Closed.m_SqlState == "");
  BOOST_TEST(Keyed.refusalOf(0, AlphaKey) == UnknownKey);
  // The rows of the transaction are free again, and the other workspace goes
  // on.
  BOOST_TEST(waitUntil([&] { return Beta.query(insert("uncommitted")).m_Ok; }));
  BOOST_TEST(System.countCommits("'before'") == 1U);
  BOOST_TEST(System.countCommits("'after'") == 0U);
  BOOST_TEST(System.countCommits("'uncommitted'") == 1U);
}

// The recorded answer of one workspace must not reach another one that happens
// to use, or guesses, its request key.
BOOST_AUTO_TEST_CASE(WorkspacesDoNotShareRequestKeys) {
  KeyedCluster Keyed(3);
  Cluster &System = Keyed.m_System;
  const std::string Options =
      callerOptions({{"request_key", generateRequestKey()}});
  const auto Book = [&](const std::string &Key, const std::string &Row) {
    return waitUntil([&] {
      PgClient Caller(System.callerPort(0));
      return connectWithKey(Caller, Key, Options) &&
             Caller.query(insert(Row)).m_Ok;
    });
  };
  BOOST_TEST(Book(AlphaKey, "alpha-row"));
  BOOST_TEST(Book(BetaKey, "beta-row"));
  // A resend within a workspace still runs once.
  BOOST_TEST(Book(AlphaKey, "alpha-row"));
  BOOST_TEST(System.countCommits("'alpha-row'") == 1U);
  BOOST_TEST(System.countCommits("'beta-row'") == 1U);
}

BOOST_AUTO_TEST_CASE(OneOfTwoOperatorsWins) {
  KeyedCluster Keyed(0);
  Cluster &System = Keyed.m_System;
  std::uint64_t Revision = Keyed.m_Alpha;
  for (unsigned Round = 0; Round < 10; ++Round) {
    std::latch Start(2);
    const auto Add = [&](unsigned Host) {
      const std::string Name =
          std::to_string(Round) + "-" + std::to_string(Host);
      Start.arrive_and_wait();
      return changeUntilAnswered(
          System, Host, "alpha", Revision, "race-" + Name,
          keyEdit(WorkspaceAction::AddKey, "key-" + Name));
    };
    auto Other = std::async(std::launch::async, Add, 2);
    const std::array Answers = {Add(1), Other.get()};
    const bool FirstWins = Answers[0].m_Status == Accepted;
    const HttpAnswer &Winner = Answers[FirstWins ? 0 : 1];
    const HttpAnswer &Loser = Answers[FirstWins ? 1 : 0];
    BOOST_TEST(Winner.m_Status == Accepted, Winner.m_Body);
    BOOST_TEST(Loser.m_Status == Conflict, Loser.m_Body);
    BOOST_TEST(revisionIn(Loser) == revisionIn(Winner));
    // The winner's resend, whose answer may have been lost, is not made twice.
    const std::string Name =
        std::to_string(Round) + "-" + (FirstWins ? "1" : "2");
    const HttpAnswer Again =
        changeUntilAnswered(System, 0, "alpha", Revision, "race-" + Name,
                            keyEdit(WorkspaceAction::AddKey, "key-" + Name));
    BOOST_TEST(Again.m_Status == Accepted, Again.m_Body);
    BOOST_TEST(revisionIn(Again) == revisionIn(Winner));
    Revision = revisionIn(Winner);
  }
}

BOOST_AUTO_TEST_CASE(RefusalsReachOperatorWithReason) {
  KeyedCluster Keyed(0);
  Cluster &System = Keyed.m_System;
  const std::uint64_t Before = System.catalogueRevision(0);
  struct RefusalCase final {
    std::string m_Name;       ///< Workspace.
    std::uint64_t m_Expected; ///< Expected revision.
    WorkspaceEdit m_Edit;     ///< The change.
    int m_Status;             ///< HTTP status.
    std::string m_Reason;     ///< Part of the answer.
  };
  WorkspaceEdit Many = keyEdit(WorkspaceAction::Put, "key");
  for (std::size_t Index = 0; Index < Workspace::MaxKeys; ++Index)
    Many.m_Keys->push_back(digestKey(std::to_string(Index)));
  WorkspaceEdit Twice = keyEdit(WorkspaceAction::Put, "key");
  Twice.m_Keys->push_back(Twice.m_Keys->front());
  WorkspaceEdit TooHigh = keyEdit(WorkspaceAction::Put, "key");
  TooHigh.m_Limit.m_RatePerSecond = std::numeric_limits<std::uint32_t>::max();
  const std::vector<RefusalCase> Cases = {
      {"gamma", 0, keyEdit(WorkspaceAction::Put, AlphaKey), BadRequest,
       "another workspace holds a key"},
      {"beta", Keyed.m_Beta, keyEdit(WorkspaceAction::AddKey, AlphaKey),
       BadRequest, "another workspace holds a key"},
      {"alpha", Keyed.m_Alpha, keyEdit(WorkspaceAction::AddKey, AlphaKey),
       BadRequest, "has this key already"},
      {"alpha", Keyed.m_Alpha, keyEdit(WorkspaceAction::RemoveKey, BetaKey),
       BadRequest, "no such key"},
      {"gamma", 0, Many, BadRequest, "too many keys"},
      {"gamma", 0, Twice, BadRequest, "has a key twice"},
      {"gamma", 0, TooHigh, BadRequest, "limit is too high"},
      {"", 0, keyEdit(WorkspaceAction::Put, "key"), BadRequest, "1 to 63"},
      {"two%20words", 0, keyEdit(WorkspaceAction::Put, "key"), BadRequest,
       "1 to 63"},
      {"gamma", 0, keyEdit(WorkspaceAction::AddKey, "key"), NotFound,
       "no workspace of this name"},
      {"alpha", 0, keyEdit(WorkspaceAction::Put, "key"), Conflict,
       "another revision"},
      {"gamma", 9, keyEdit(WorkspaceAction::Put, "key"), Conflict,
       "another revision"}};
  unsigned Number = 0;
  for (const RefusalCase &Case : Cases) {
    const HttpAnswer Answer =
        change(System, 1, Case.m_Name, Case.m_Expected,
               "refused-" + std::to_string(++Number), Case.m_Edit);
    BOOST_TEST_CONTEXT(Number << ": " << Case.m_Name) {
      BOOST_TEST(Answer.m_Status == Case.m_Status);
      BOOST_TEST(contains(Answer.m_Body, Case.m_Reason), Answer.m_Body);
    }
  }
  BOOST_TEST(System.catalogueRevision(0) == Before);
  const HttpAnswer Shown =
      httpCall(System.httpPort(2), "GET", "/v1/workspaces/alpha");
  BOOST_TEST(contains(Shown.m_Body, formatShortDigest(digestKey(AlphaKey))));
  BOOST_TEST(!contains(Shown.m_Body, formatDigest(digestKey(AlphaKey))));
  const HttpAnswer Listed =
      httpCall(System.httpPort(2), "GET", "/v1/workspaces?after=alpha");
  BOOST_TEST(contains(Listed.m_Body, "\"total\":2"), Listed.m_Body);
  BOOST_TEST(!contains(Listed.m_Body, "\"alpha\""));
  BOOST_TEST(contains(Listed.m_Body, "\"beta\""));
}

BOOST_AUTO_TEST_SUITE_END()
