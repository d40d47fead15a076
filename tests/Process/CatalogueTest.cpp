#include "Cluster.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <future>
#include <latch>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

constexpr int Accepted = 200;
constexpr int Conflict = 409;
constexpr int Unavailable = 503;
/// Time within which every proxy uses an accepted change.
constexpr auto PropagationTimeout = std::chrono::seconds(5);
const std::string TestEntry = "entry";

/// Three hosts without backend servers.
ClusterSettings hostsOnly() { return {3, 0, {}, {}}; }

std::uint64_t numericMember(const std::string &Body, const char *Member) {
  boost::system::error_code Error;
  const auto Value = boost::json::parse(Body, Error);
  if (Error || !Value.is_object() || !Value.as_object().contains(Member)) {
    return 0;
  }
  return Value.as_object().at(Member).to_number<std::uint64_t>(Error);
}

std::string fetchEntry(const Cluster &System, unsigned Host,
                       const std::string &Entry) {
  return httpCall(System.httpPort(Host), "GET", "/v1/catalogue/" + Entry)
      .m_Body;
}

/// Sends a change until it is accepted. Returns the new revision, or 0 on a
/// timeout.
std::uint64_t putUntilAccepted(const Cluster &System, unsigned Host,
                               const std::string &Entry,
                               std::uint64_t ExpectedRevision,
                               const std::string &ChangeId, unsigned Queued) {
  HttpAnswer Answer;
  waitUntil([&] {
    Answer = System.putEntry(Host, Entry, "write", ExpectedRevision, ChangeId,
                             {{"max_queued", Queued}});
    return Answer.m_Status == Accepted;
  });
  return Answer.m_Status == Accepted ? numericMember(Answer.m_Body, "revision")
                                     : 0;
}

bool waitForRevision(const Cluster &System, unsigned Host,
                     std::uint64_t Revision) {
  return waitUntil([&] { return System.catalogueRevision(Host) >= Revision; },
                   PropagationTimeout);
}

/// Waits until \p Host uses \p Revision, and checks that until then it reports
/// no revision older than \p Reported or than one that it reported before.
void checkCatchesUp(const Cluster &System, unsigned Host,
                    std::uint64_t Reported, std::uint64_t Revision) {
  bool HasGoneBack = false;
  BOOST_TEST(waitUntil([&] {
    const std::uint64_t Now = System.catalogueRevision(Host);
    HasGoneBack = HasGoneBack || Now < Reported;
    Reported = std::max(Reported, Now);
    return Now >= Revision;
  }));
  BOOST_TEST(!HasGoneBack);
}

/// True if \p Host accepts new callers of \p Entry.
bool acceptsCallers(const Cluster &System, unsigned Host,
                    const std::string &Entry) {
  PgClient Caller(System.callerPort(Host));
  return Caller.connect("", Entry);
}

/// True if any host has logged \p Text.
bool hasLogged(Cluster &System, const std::string &Text) {
  for (const unsigned Host : {0U, 1U, 2U}) {
    ChildProcess &Process = System.host(Host);
    if ((Process.output() + Process.errors()).find(Text) != std::string::npos) {
      return true;
    }
  }
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CatalogueTest, *boost::unit_test::label("promise-9"))

BOOST_AUTO_TEST_CASE(AcceptedChangeReachesEveryProxy) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  for (unsigned Round = 0; Round < 10; ++Round) {
    const std::string Entry = TestEntry + std::to_string(Round);
    const auto Revision =
        putUntilAccepted(System, Round % 3, Entry, 0, "put" + Entry, 7);
    for (const unsigned Host : {0U, 1U, 2U}) {
      BOOST_TEST(waitUntil([&] { return acceptsCallers(System, Host, Entry); },
                           PropagationTimeout));
    }
    const auto Deleted =
        System.deleteEntry((Round + 1) % 3, Entry, Revision, "delete" + Entry);
    BOOST_TEST(Deleted.m_Status == Accepted, Deleted.m_Body);
    for (const unsigned Host : {0U, 1U, 2U}) {
      BOOST_TEST(waitUntil([&] { return !acceptsCallers(System, Host, Entry); },
                           PropagationTimeout));
    }
  }
}

BOOST_AUTO_TEST_CASE(OneOfTwoConcurrentChangesWins) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  std::uint64_t Revision =
      putUntilAccepted(System, 0, TestEntry, 0, "first", 1);
  for (unsigned Round = 0; Round < 20; ++Round) {
    std::latch Start(2);
    const auto Put = [&](unsigned Host) {
      Start.arrive_and_wait();
      return System.putEntry(Host, TestEntry, "write", Revision,
                             "race-" + std::to_string(Round) + "-" +
                                 std::to_string(Host),
                             {{"max_queued", 100 + Host}});
    };
    auto Other = std::async(std::launch::async, Put, 2);
    const std::array Answers = {Put(1), Other.get()};
    const bool FirstWins = Answers[0].m_Status == Accepted;
    const HttpAnswer &Winner = Answers[FirstWins ? 0 : 1];
    const HttpAnswer &Loser = Answers[FirstWins ? 1 : 0];
    BOOST_TEST(Winner.m_Status == Accepted, Winner.m_Body);
    BOOST_TEST(Loser.m_Status == Conflict, Loser.m_Body);
    Revision = numericMember(Winner.m_Body, "revision");
    BOOST_TEST(numericMember(Loser.m_Body, "winner_revision") == Revision);
    const unsigned Queued = FirstWins ? 101 : 102;
    BOOST_TEST(Loser.m_Body.find("\"max_queued\":" + std::to_string(Queued)) !=
               std::string::npos);
    BOOST_TEST(numericMember(fetchEntry(System, 0, TestEntry), "max_queued") ==
               Queued);
  }
}

BOOST_AUTO_TEST_CASE(AppliesResentChangeOnce) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  std::uint64_t Revision =
      putUntilAccepted(System, 0, TestEntry, 0, "first", 1);
  for (unsigned Round = 0; Round < 10; ++Round) {
    const std::string ChangeId = "resent-" + std::to_string(Round);
    std::latch Start(2);
    const auto Put = [&](unsigned Host) {
      Start.arrive_and_wait();
      return putUntilAccepted(System, Host, TestEntry, Revision, ChangeId,
                              Round);
    };
    auto Other = std::async(std::launch::async, Put, 2);
    const std::uint64_t First = Put(1);
    BOOST_TEST(First > Revision);
    BOOST_TEST(Other.get() == First);
    // A resend after another change still gets the revision of its change.
    const auto Next =
        putUntilAccepted(System, 0, TestEntry, First, ChangeId + "n", 5);
    BOOST_TEST(putUntilAccepted(System, 1, TestEntry, Revision, ChangeId,
                                Round) == First);
    BOOST_TEST(numericMember(fetchEntry(System, 2, TestEntry), "revision") ==
               Next);
    Revision = Next;
  }
}

BOOST_AUTO_TEST_CASE(SuspendedHostCatchesUpWithoutGoingBack) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  std::uint64_t Revision =
      putUntilAccepted(System, 0, TestEntry, 0, "first", 1);
  const int Leader = System.leader();
  BOOST_REQUIRE(Leader >= 0);
  const unsigned SuspendedHost = (static_cast<unsigned>(Leader) + 1) % 3;
  const unsigned Other = (static_cast<unsigned>(Leader) + 2) % 3;
  BOOST_REQUIRE(waitForRevision(System, SuspendedHost, Revision));
  const std::uint64_t Reported = System.catalogueRevision(SuspendedHost);
  System.host(SuspendedHost).stop();
  for (unsigned Number = 0; Number < 20; ++Number) {
    Revision = putUntilAccepted(System, Other, TestEntry, Revision,
                                "c" + std::to_string(Number), Number);
  }
  System.host(SuspendedHost).resume();
  checkCatchesUp(System, SuspendedHost, Reported, Revision);
  BOOST_TEST(numericMember(fetchEntry(System, SuspendedHost, TestEntry),
                           "revision") == Revision);
}

BOOST_AUTO_TEST_CASE(SuspendedLeaderIsReplacedAndItsLateChangeRejected) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  const auto Old = putUntilAccepted(System, 0, TestEntry, 0, "first", 1);
  const int Leader = System.leader();
  BOOST_REQUIRE(Leader >= 0);
  const auto SuspendedLeader = static_cast<unsigned>(Leader);
  BOOST_REQUIRE(waitForRevision(System, SuspendedLeader, Old));
  System.host(SuspendedLeader).stop();
  // This change reaches the suspended leader before the leader can learn of
  // the changes below.
  auto LateChange = std::async(std::launch::async, [&] {
    return System.putEntry(SuspendedLeader, TestEntry, "write", Old, "late");
  });
  std::uint64_t Revision = Old;
  for (unsigned Number = 0; Number < 5; ++Number) {
    Revision = putUntilAccepted(System, (SuspendedLeader + 1 + Number % 2) % 3,
                                TestEntry, Revision,
                                "new-" + std::to_string(Number), Number);
  }
  System.host(SuspendedLeader).resume();
  const HttpAnswer LateAnswer = LateChange.get();
  BOOST_TEST(
      (LateAnswer.m_Status == Conflict || LateAnswer.m_Status == Unavailable),
      LateAnswer.m_Status << " " << LateAnswer.m_Body);
  checkCatchesUp(System, SuspendedLeader, Old, Revision);
  for (const unsigned Host : {0U, 1U, 2U}) {
    BOOST_TEST(numericMember(fetchEntry(System, Host, TestEntry), "revision") ==
               Revision);
  }
}

BOOST_AUTO_TEST_CASE(ChangesSurviveRestartOfAllHosts) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  std::uint64_t Revision =
      putUntilAccepted(System, 0, TestEntry, 0, "first", 1);
  System.host(2).kill();
  constexpr unsigned ChangeCount = 500;
  for (unsigned Number = 0; Number < ChangeCount; ++Number) {
    Revision = putUntilAccepted(System, Number % 2, TestEntry, Revision,
                                "c" + std::to_string(Number), Number);
  }
  System.startHost(2);
  checkCatchesUp(System, 2, 0, Revision);
  for (const unsigned Host : {0U, 1U, 2U}) {
    System.host(Host).kill();
  }
  for (const unsigned Host : {0U, 1U, 2U}) {
    System.startHost(Host);
  }
  for (const unsigned Host : {0U, 1U, 2U}) {
    checkCatchesUp(System, Host, 0, Revision);
    const std::string Entry = fetchEntry(System, Host, TestEntry);
    BOOST_TEST(numericMember(Entry, "revision") == Revision);
    BOOST_TEST(numericMember(Entry, "max_queued") == ChangeCount - 1);
  }
}

BOOST_AUTO_TEST_CASE(HostWithDeletedDataRejoinsAsNewVoter) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  std::uint64_t Revision =
      putUntilAccepted(System, 0, TestEntry, 0, "first", 1);
  System.host(2).kill();
  System.deleteHostData(2);
  System.startHost(2);
  checkCatchesUp(System, 2, 0, Revision);
  // The new voter counts towards the quorum: without host 1, changes need hosts
  // 0 and 2.
  BOOST_REQUIRE(waitUntil(
      [&] { return hasLogged(System, "Changed the voters: step 1 "); }));
  System.host(1).kill();
  Revision = putUntilAccepted(System, 2, TestEntry, Revision, "after", 9);
  BOOST_TEST(waitForRevision(System, 0, Revision));
  BOOST_TEST(numericMember(fetchEntry(System, 2, TestEntry), "max_queued") ==
             9U);
}

// Without a quorum, a restarted host does not obtain the catalogue. It must not
// report an entry that other hosts have as unknown.
BOOST_AUTO_TEST_CASE(HostWithoutCatalogueRejectsCallersAsUnavailable) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  for (const unsigned Host : {0U, 1U, 2U}) {
    System.host(Host).kill();
  }
  System.startHost(2);
  const PgAnswer Refused =
      runOnce(System.callerPort(2), "bookings", "SELECT 1");
  BOOST_TEST(Refused.m_SqlState == "57P03", Refused.m_Message);
}

// A host that has lost control cannot know whether the entry was added since.
BOOST_AUTO_TEST_CASE(HostWithoutLeaseDoesNotReportEntryAsUnknown) {
  const std::string UnknownEntry = "3D000";
  const std::string NoLease = "57P03";
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  BOOST_REQUIRE(putUntilAccepted(System, 0, TestEntry, 0, "first", 1) > 0);
  BOOST_REQUIRE(waitUntil([&] { return acceptsCallers(System, 0, TestEntry); },
                          PropagationTimeout));
  const auto RefusalOf = [&](const std::string &Entry) {
    PgClient Caller(System.callerPort(0));
    Caller.connect("", Entry);
    return Caller.lastSqlState();
  };
  BOOST_TEST(waitUntil([&] { return RefusalOf("other") == UnknownEntry; }));
  System.host(1).kill();
  System.host(2).kill();
  BOOST_TEST(waitUntil([&] { return RefusalOf("other") == NoLease; },
                       PropagationTimeout));
}

BOOST_AUTO_TEST_SUITE_END()
