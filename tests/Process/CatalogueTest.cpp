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
constexpr auto InForceWithin = std::chrono::seconds(5);
const std::string Name = "entry";

/// Three hosts without backend servers.
ClusterSettings hostsOnly() { return {3, 0, {}, {}}; }

std::uint64_t numberOf(const std::string &Body, const char *Member) {
  boost::system::error_code Error;
  const auto Value = boost::json::parse(Body, Error);
  if (Error || !Value.is_object() || !Value.as_object().contains(Member)) {
    return 0;
  }
  return Value.as_object().at(Member).to_number<std::uint64_t>(Error);
}

std::string entryAt(const Cluster &System, unsigned Host,
                    const std::string &Entry) {
  return httpCall(System.httpPort(Host), "GET", "/v1/catalogue/" + Entry)
      .m_Body;
}

/// Sends a change until it is accepted. Returns the new revision, or 0 on a
/// timeout.
std::uint64_t putUntilAccepted(const Cluster &System, unsigned Host,
                               const std::string &Entry, std::uint64_t Expected,
                               const std::string &Change, unsigned Queued) {
  HttpAnswer Answer;
  waitUntil([&] {
    Answer = System.putEntry(Host, Entry, "write", Expected, Change,
                             {{"max_queued", Queued}});
    return Answer.m_Status == Accepted;
  });
  return Answer.m_Status == Accepted ? numberOf(Answer.m_Body, "revision") : 0;
}

bool reaches(const Cluster &System, unsigned Host, std::uint64_t Revision) {
  return waitUntil([&] { return System.catalogueRevision(Host) >= Revision; },
                   InForceWithin);
}

/// Waits until \p Host uses \p Revision, and checks that until then it reports
/// no revision older than \p Shown or than one that it reported before.
void checkCatchesUp(const Cluster &System, unsigned Host, std::uint64_t Shown,
                    std::uint64_t Revision) {
  bool Older = false;
  BOOST_TEST(waitUntil([&] {
    const std::uint64_t Now = System.catalogueRevision(Host);
    Older = Older || Now < Shown;
    Shown = std::max(Shown, Now);
    return Now >= Revision;
  }));
  BOOST_TEST(!Older);
}

/// True if \p Host accepts new callers of \p Entry.
bool accepts(const Cluster &System, unsigned Host, const std::string &Entry) {
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

BOOST_AUTO_TEST_CASE(AnAcceptedChangeIsInForceAtEveryProxy) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  for (unsigned Round = 0; Round < 10; ++Round) {
    const std::string Entry = Name + std::to_string(Round);
    const auto Revision =
        putUntilAccepted(System, Round % 3, Entry, 0, "put" + Entry, 7);
    for (const unsigned Host : {0U, 1U, 2U}) {
      BOOST_TEST(waitUntil([&] { return accepts(System, Host, Entry); },
                           InForceWithin));
    }
    const auto Deleted =
        System.deleteEntry((Round + 1) % 3, Entry, Revision, "delete" + Entry);
    BOOST_TEST(Deleted.m_Status == Accepted, Deleted.m_Body);
    for (const unsigned Host : {0U, 1U, 2U}) {
      BOOST_TEST(waitUntil([&] { return !accepts(System, Host, Entry); },
                           InForceWithin));
    }
  }
}

BOOST_AUTO_TEST_CASE(OfTwoEqualRevisionsOneWins) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  std::uint64_t Revision = putUntilAccepted(System, 0, Name, 0, "first", 1);
  for (unsigned Round = 0; Round < 20; ++Round) {
    std::latch Start(2);
    const auto Put = [&](unsigned Host) {
      Start.arrive_and_wait();
      return System.putEntry(Host, Name, "write", Revision,
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
    Revision = numberOf(Winner.m_Body, "revision");
    BOOST_TEST(numberOf(Loser.m_Body, "winner_revision") == Revision);
    const unsigned Queued = FirstWins ? 101 : 102;
    BOOST_TEST(Loser.m_Body.find("\"max_queued\":" + std::to_string(Queued)) !=
               std::string::npos);
    BOOST_TEST(numberOf(entryAt(System, 0, Name), "max_queued") == Queued);
  }
}

BOOST_AUTO_TEST_CASE(AResendWithTheSameChangeIdIsMadeOnce) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  std::uint64_t Revision = putUntilAccepted(System, 0, Name, 0, "first", 1);
  for (unsigned Round = 0; Round < 10; ++Round) {
    const std::string Change = "resent-" + std::to_string(Round);
    std::latch Start(2);
    const auto Put = [&](unsigned Host) {
      Start.arrive_and_wait();
      return putUntilAccepted(System, Host, Name, Revision, Change, Round);
    };
    auto Other = std::async(std::launch::async, Put, 2);
    const std::uint64_t First = Put(1);
    BOOST_TEST(First > Revision);
    BOOST_TEST(Other.get() == First);
    // A resend after another change still gets the revision of its change.
    const auto Next = putUntilAccepted(System, 0, Name, First, Change + "n", 5);
    BOOST_TEST(putUntilAccepted(System, 1, Name, Revision, Change, Round) ==
               First);
    BOOST_TEST(numberOf(entryAt(System, 2, Name), "revision") == Next);
    Revision = Next;
  }
}

BOOST_AUTO_TEST_CASE(AStoppedHostCatchesUpAndNeverGoesBack) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  std::uint64_t Revision = putUntilAccepted(System, 0, Name, 0, "first", 1);
  const int Leader = System.leader();
  BOOST_REQUIRE(Leader >= 0);
  const unsigned Stopped = (static_cast<unsigned>(Leader) + 1) % 3;
  const unsigned Other = (static_cast<unsigned>(Leader) + 2) % 3;
  BOOST_REQUIRE(reaches(System, Stopped, Revision));
  const std::uint64_t Shown = System.catalogueRevision(Stopped);
  System.host(Stopped).stop();
  for (unsigned Number = 0; Number < 20; ++Number) {
    Revision = putUntilAccepted(System, Other, Name, Revision,
                                "c" + std::to_string(Number), Number);
  }
  System.host(Stopped).resume();
  checkCatchesUp(System, Stopped, Shown, Revision);
  BOOST_TEST(numberOf(entryAt(System, Stopped, Name), "revision") == Revision);
}

BOOST_AUTO_TEST_CASE(AFrozenLeaderIsReplacedAndItsViewLoses) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  const auto Old = putUntilAccepted(System, 0, Name, 0, "first", 1);
  const int Leader = System.leader();
  BOOST_REQUIRE(Leader >= 0);
  const auto Frozen = static_cast<unsigned>(Leader);
  BOOST_REQUIRE(reaches(System, Frozen, Old));
  System.host(Frozen).stop();
  // This change reaches the suspended leader before the leader can learn of
  // the changes below.
  auto Late = std::async(std::launch::async, [&] {
    return System.putEntry(Frozen, Name, "write", Old, "late");
  });
  std::uint64_t Revision = Old;
  for (unsigned Number = 0; Number < 5; ++Number) {
    Revision =
        putUntilAccepted(System, (Frozen + 1 + Number % 2) % 3, Name, Revision,
                         "new-" + std::to_string(Number), Number);
  }
  System.host(Frozen).resume();
  const HttpAnswer Lost = Late.get();
  BOOST_TEST((Lost.m_Status == Conflict || Lost.m_Status == Unavailable),
             Lost.m_Status << " " << Lost.m_Body);
  checkCatchesUp(System, Frozen, Old, Revision);
  for (const unsigned Host : {0U, 1U, 2U}) {
    BOOST_TEST(numberOf(entryAt(System, Host, Name), "revision") == Revision);
  }
}

BOOST_AUTO_TEST_CASE(RestartsKeepHundredsOfChanges) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  std::uint64_t Revision = putUntilAccepted(System, 0, Name, 0, "first", 1);
  System.host(2).kill();
  constexpr unsigned ChangeCount = 500;
  for (unsigned Number = 0; Number < ChangeCount; ++Number) {
    Revision = putUntilAccepted(System, Number % 2, Name, Revision,
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
    const std::string Entry = entryAt(System, Host, Name);
    BOOST_TEST(numberOf(Entry, "revision") == Revision);
    BOOST_TEST(numberOf(Entry, "max_queued") == ChangeCount - 1);
  }
}

BOOST_AUTO_TEST_CASE(AHostWithoutItsDataComesBackAsANewVoter) {
  Cluster System(hostsOnly());
  BOOST_REQUIRE(System.start());
  std::uint64_t Revision = putUntilAccepted(System, 0, Name, 0, "first", 1);
  System.host(2).kill();
  System.wipeHost(2);
  System.startHost(2);
  checkCatchesUp(System, 2, 0, Revision);
  // The new voter counts towards the quorum: without host 1, changes need hosts
  // 0 and 2.
  BOOST_REQUIRE(waitUntil(
      [&] { return hasLogged(System, "Changed the voters: step 1 "); }));
  System.host(1).kill();
  Revision = putUntilAccepted(System, 2, Name, Revision, "after", 9);
  BOOST_TEST(reaches(System, 0, Revision));
  BOOST_TEST(numberOf(entryAt(System, 2, Name), "max_queued") == 9U);
}

// Without a quorum, a restarted host does not obtain the catalogue. It must not
// report an entry that other hosts have as unknown.
BOOST_AUTO_TEST_CASE(AHostThatKnowsNoCatalogueYetSendsCallersElsewhere) {
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

BOOST_AUTO_TEST_SUITE_END()
