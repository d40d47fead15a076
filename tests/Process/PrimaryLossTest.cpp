#include "Cluster.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

/// How the primary is lost.
enum class Loss { Killed, Suspended, Silent };

struct LossCase final {
  const char *m_Name; ///< Description of the case.
  Loss m_Loss;        ///< How the primary is lost.
};

std::ostream &operator<<(std::ostream &Stream, const LossCase &Case) {
  return Stream << Case.m_Name;
}

const std::vector<LossCase> Losses = {
    {"killed", Loss::Killed},
    {"suspended", Loss::Suspended},
    {"all its connections silent, and no announcements", Loss::Silent}};

void causeLoss(Cluster &System, unsigned Server, Loss Kind) {
  switch (Kind) {
  case Loss::Killed:
    System.server(Server).kill();
    return;
  case Loss::Suspended:
    System.server(Server).stop();
    return;
  case Loss::Silent:
    System.runOnServer(Server, "SELECT standin_fault('stop_announcing','1')");
    System.runOnServer(Server,
                       "SELECT standin_fault('silent_connections','1')");
    System.runOnServer(Server,
                       "SELECT standin_fault('refuse_connections','1')");
    return;
  }
}

/// Stops or resumes replication at all servers other than \p Primary.
void setReplication(Cluster &System, unsigned Primary, bool Enabled) {
  for (unsigned Server = 0; Server < 3; ++Server) {
    if (Server != Primary) {
      System.runOnServer(
          Server, std::string("SELECT standin_fault('stop_replication','") +
                      (Enabled ? "0" : "1") + "')");
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrimaryLossTest)

BOOST_TEST_DECORATOR(*boost::unit_test::label("promise-2") *
                     boost::unit_test::label("promise-6"))
BOOST_DATA_TEST_CASE(AcknowledgedBookingsAreNeitherLostNorRepeated,
                     boost::unit_test::data::make(Losses), Case) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  for (int Number = 0; Number < 10; ++Number) {
    const std::string Key = "before-" + std::to_string(Number);
    BOOST_TEST(
        System.book(Number % 3, Key, generateRequestKey(), "clerk").m_Ok);
  }
  const unsigned Lost = System.waitForPrimary();
  causeLoss(System, Lost, Case.m_Loss);
  // Sends the booking with the same request key until it is acknowledged.
  BOOST_REQUIRE(System.bookUntilAcknowledged(1, "after"));
  BOOST_TEST(System.waitForPrimary() != Lost);
  for (int Number = 0; Number < 10; ++Number) {
    const std::string Key = "before-" + std::to_string(Number);
    BOOST_TEST(System.read((Number + 1) % 3, Key, "clerk").value() == "dryer");
    BOOST_TEST(System.countCommits("'" + Key + "'") == 1U);
  }
  BOOST_TEST(System.read(2, "after", "clerk").value() == "dryer");
}

BOOST_AUTO_TEST_CASE(ResumedPrimaryAcknowledgesNothing,
                     *boost::unit_test::label("promise-2")) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  BOOST_REQUIRE(System.book(0, "first", generateRequestKey()).m_Ok);
  // Sends a booking while the primary is suspended.
  const unsigned Old = System.waitForPrimary();
  System.server(Old).stop();
  PgClient Caller(System.callerPort(0));
  BOOST_REQUIRE(Caller.connect("", "bookings"));
  BOOST_REQUIRE(Caller.send("INSERT INTO hires VALUES ('late', 'dryer')"));
  BOOST_REQUIRE(System.bookUntilAcknowledged(1, "second"));
  System.server(Old).resume();
  const auto Answer = Caller.receive(std::chrono::seconds(10));
  BOOST_REQUIRE(Answer);
  // The booking may be acknowledged only if the new primary has run it.
  if (Answer->m_Ok) {
    BOOST_TEST(System.read(2, "late", "other").value() == "dryer");
  }
  // The old primary rejoins as a replica with the history of the new one.
  BOOST_TEST(waitUntil([&] {
    return System.runOnServer(Old, "SELECT ragwortmux_position()").value() !=
           "1";
  }));
  BOOST_TEST(System.read(0, "second", "clerk").value() == "dryer");
}

BOOST_AUTO_TEST_CASE(ResumedProxyAcknowledgesNothingAfterLeaseExpiry,
                     *boost::unit_test::label("promise-2")) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  // Replication is stopped, so that host 2 has received the primary's answer
  // and waits for the replicas. While it is suspended, it observes neither that
  // they continue nor that the primary fails and its own lease ends.
  const unsigned Old = System.waitForPrimary();
  setReplication(System, Old, false);
  PgClient Caller(System.callerPort(2));
  BOOST_REQUIRE(Caller.connect("", "bookings"));
  BOOST_REQUIRE(Caller.send("INSERT INTO hires VALUES ('held', 'dryer')"));
  BOOST_REQUIRE(waitUntil([&] { return System.countCommits("'held'") == 1; }));
  System.host(2).stop();
  setReplication(System, Old, true);
  System.server(Old).kill();
  BOOST_REQUIRE(System.bookUntilAcknowledged(0, "next"));
  System.host(2).resume();
  const auto Answer = Caller.receive(std::chrono::seconds(10));
  BOOST_REQUIRE(Answer);
  BOOST_TEST(!Answer->m_Ok);
  BOOST_TEST(Answer->m_SqlState == "08007");
}

BOOST_AUTO_TEST_CASE(KeepsBookingsAfterSecondPrimaryLoss,
                     *boost::unit_test::label("promise-2")) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  BOOST_REQUIRE(System.book(0, "one", generateRequestKey(), "clerk").m_Ok);
  const unsigned First = System.waitForPrimary();
  System.server(First).kill();
  BOOST_REQUIRE(System.bookUntilAcknowledged(1, "two"));
  // The lost server rejoins and is in sync again; then the new primary is lost
  // as well.
  System.startServer(First, false);
  BOOST_REQUIRE(
      waitUntil([&] { return System.isInSync(3); }, std::chrono::seconds(20)));
  const unsigned Second = System.waitForPrimary();
  BOOST_REQUIRE(Second != First);
  System.server(Second).kill();
  BOOST_REQUIRE(System.bookUntilAcknowledged(2, "three"));
  for (const char *Key : {"one", "two", "three"}) {
    BOOST_TEST(System.read(0, Key, "clerk").value() == "dryer");
  }
}

BOOST_AUTO_TEST_CASE(ReadsOwnWritesAcrossChangeOfPrimary,
                     *boost::unit_test::label("promise-1")) {
  Cluster System({3, 3, {}, {"--replication_delay_ms=40"}});
  BOOST_REQUIRE(System.start());
  for (unsigned Number = 0; Number < 12; ++Number) {
    if (Number == 6) {
      System.server(System.waitForPrimary()).kill();
    }
    const std::string Key = "hire-" + std::to_string(Number);
    BOOST_REQUIRE(System.bookUntilAcknowledged(Number % 3, Key));
    // The next read goes to another proxy and carries only the session name.
    BOOST_TEST(System.read((Number + 1) % 3, Key, "clerk").value() == "dryer");
  }
}

BOOST_AUTO_TEST_SUITE_END()
