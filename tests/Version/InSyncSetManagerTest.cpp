#include "LeaderHarness.h"

#include <boost/test/unit_test.hpp>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

/// Makes s3 Behind and then lets it join again.
void dropAndReturn(LeaderHarness &Harness) {
  Harness.server("s3").m_Applies = false;
  Harness.runUntil([&] { return Harness.sync("s3") == SyncState::Behind; });
  Harness.server("s3").m_Applies = true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(InSyncSet)

BOOST_AUTO_TEST_CASE(DropsUnfitReplicas) {
  struct Case final {
    const char *m_Name;                       ///< Name in messages.
    std::function<void(FakeServer &)> m_Fail; ///< Applies the fault to s3.
    Duration m_Within; ///< Limit for the time until s3 is Behind.
  };
  const Case Cases[] = {
      {"dead", [](FakeServer &Each) { Each.m_Up = false; }, 400ms},
      {"lags", [](FakeServer &Each) { Each.m_Applies = false; }, 800ms},
      {"leaves", [](FakeServer &Each) { Each.m_Leaving = true; }, 200ms},
      {"has lost its log",
       [](FakeServer &Each) {
         Each.m_Point = {};
         Each.m_Applies = false;
       },
       700ms},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      LeaderHarness Harness;
      Each.m_Fail(Harness.server("s3"));
      const Duration Gap = Harness.runUntil(
          [&] { return Harness.sync("s3") == SyncState::Behind; });
      BOOST_TEST_MESSAGE(Each.m_Name << ": " << Gap.count() / 1000 << " ms");
      BOOST_TEST((Gap <= Each.m_Within));
      // The last replica stays in sync: it is electable, and writers need it
      // anyway.
      Harness.server("s2").m_Up = false;
      Harness.run(2s);
      BOOST_TEST((Harness.sync("s2") == SyncState::InSync));
      BOOST_TEST(Harness.group().m_Term.value() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(JoiningServerIsNotElectable,
                     *boost::unit_test::label("promise-2")) {
  // A proxy without the record of the joining server acknowledges without it.
  LeaderHarness Harness;
  dropAndReturn(Harness);
  FakeProxy &Late = Harness.m_Proxies[0];
  Late.m_Confirms = false;
  Harness.runUntil([&] { return Harness.sync("s3") == SyncState::Joining; });
  Harness.server("s3").m_Applies = false;
  Harness.run(300ms);
  BOOST_TEST((Harness.sync("s3") == SyncState::Joining));
  BOOST_TEST(Late.acknowledges(Harness.m_Now).has_value());
  // Now the primary fails: the joining server lacks acknowledged writes.
  Late.m_Confirms = true;
  Harness.server("s1").m_Up = false;
  Harness.runUntil([&] {
    return Harness.group().m_Term == Term(2) &&
           Harness.group().m_Primary.has_value();
  });
  BOOST_TEST(Harness.group().m_Primary->value() == "s2");
}

BOOST_AUTO_TEST_CASE(JoiningServerIsNotElectableAsLastOne,
                     *boost::unit_test::label("promise-2")) {
  LeaderHarness Harness;
  dropAndReturn(Harness);
  Harness.m_Proxies[0].m_Confirms = false;
  Harness.runUntil([&] { return Harness.sync("s3") == SyncState::Joining; });
  Harness.server("s3").m_Applies = false;
  Harness.run(50ms);
  Harness.server("s1").m_Up = false;
  Harness.server("s2").m_Up = false;
  Harness.run(5s);
  BOOST_TEST((Harness.group().m_Primary != ServerId("s3")));
  // A server that has all acknowledged writes returns.
  Harness.server("s2").m_Up = true;
  Harness.runUntil([&] { return Harness.isSettled(); });
  BOOST_TEST(Harness.group().m_Primary->value() == "s2");
}

BOOST_AUTO_TEST_CASE(ElectableOnceAllSessionsHaveConfirmed,
                     *boost::unit_test::label("promise-2")) {
  LeaderHarness Harness;
  dropAndReturn(Harness);
  FakeProxy &Late = Harness.m_Proxies[0];
  Late.m_Confirms = false;
  Harness.runUntil([&] { return Harness.sync("s3") == SyncState::Joining; });
  Harness.run(400ms);
  BOOST_TEST((Harness.sync("s3") == SyncState::Joining));
  Late.m_Confirms = true;
  Harness.runUntil([&] { return Harness.sync("s3") == SyncState::InSync; });
  // The only remaining server has all acknowledged writes and is electable.
  Harness.server("s1").m_Up = false;
  Harness.server("s2").m_Up = false;
  Harness.runUntil([&] { return Harness.isSettled(); });
  BOOST_TEST(Harness.group().m_Primary->value() == "s3");
}

BOOST_AUTO_TEST_CASE(MeasuresCatchUpAfterLastConfirmation,
                     *boost::unit_test::label("promise-2")) {
  // s3 stops applying before the last session has confirmed that it is Joining.
  LeaderHarness Harness;
  dropAndReturn(Harness);
  FakeProxy &Late = Harness.m_Proxies[0];
  Late.m_Confirms = false;
  Harness.runUntil([&] { return Harness.sync("s3") == SyncState::Joining; });
  Harness.server("s3").m_Applies = false;
  Harness.run(50ms);
  Late.m_Confirms = true;
  Harness.run(300ms);
  BOOST_TEST((Harness.sync("s3") == SyncState::Joining));
  Harness.server("s3").m_Applies = true;
  Harness.run(200ms);
  BOOST_TEST((Harness.sync("s3") == SyncState::InSync));
}

BOOST_AUTO_TEST_CASE(LeavingServersGetNoNewRequests,
                     *boost::unit_test::label("promise-7")) {
  struct Case final {
    const char *m_Name;   ///< Name in messages.
    const char *m_Server; ///< The server that leaves.
    bool m_IsHeard; ///< True if its announcement arrives; otherwise it falls
                    ///< silent.
  };
  const Case Cases[] = {{"replica", "s2", true},
                        {"primary", "s1", true},
                        {"replica, announcement lost", "s2", false},
                        {"primary, announcement lost", "s1", false}};
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      LeaderHarness Harness;
      FakeServer &Leaving = Harness.server(Each.m_Server);
      Leaving.m_Leaving = true;
      Leaving.m_Announces = Each.m_IsHeard;
      const auto GetsNoRequests = [&](const FakeProxy &Proxy) {
        const auto &Servers = Proxy.m_View->m_Servers;
        const bool IsMarked = std::any_of(
            Servers.begin(), Servers.end(), [&](const ServerView &Server) {
              return Server.m_Server == Leaving.m_Server &&
                     (Server.m_Leaving || !Server.m_Announced);
            });
        return IsMarked && Proxy.m_View->m_Primary.has_value() &&
               Proxy.m_View->m_Primary != Leaving.m_Server;
      };
      const Duration Gap = Harness.runUntil([&] {
        return std::all_of(Harness.m_Proxies.begin(), Harness.m_Proxies.end(),
                           GetsNoRequests);
      });
      BOOST_TEST_MESSAGE(Each.m_Name << ": " << Gap.count() / 1000 << " ms");
      BOOST_TEST((Gap <= 3s));
      // The server returns after a restart.
      Harness.run(1s);
      Leaving.m_Leaving = false;
      Leaving.m_Announces = true;
      Harness.runUntil([&] { return Harness.isInSync(); });
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
