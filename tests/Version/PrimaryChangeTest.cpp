#include "LeaderHarness.h"

#include <boost/test/unit_test.hpp>

using namespace ragwortmux;
using namespace ragwortmux::test;

BOOST_AUTO_TEST_SUITE(ChangeOfPrimary, *boost::unit_test::label("promise-2"))

BOOST_AUTO_TEST_CASE(AppointsFirstPrimary) {
  LeaderHarness Harness;
  BOOST_TEST(Harness.group().m_Term.value() == 1U);
  BOOST_TEST(Harness.group().m_Primary->value() == "s1");
}

BOOST_AUTO_TEST_CASE(WritesTimeLineOfChange) {
  LeaderHarness Harness;
  Harness.m_TimelineLines.clear();
  Harness.server("s1").m_Up = false;
  Harness.runUntil([&] { return Harness.isSettled(); });
  const std::vector<std::string> Expected = {
      "group portal-1: primary s1 has failed",
      "group portal-1: term 2 begins without a primary",
      "group portal-1: server s2 is primary of term 2"};
  BOOST_TEST(Harness.m_TimelineLines == Expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ReplacesKilledPrimary) {
  struct Case final {
    Duration m_Delay;  ///< One-way delay of each message.
    Duration m_Within; ///< Limit for the time until the group is settled.
  };
  for (const auto &[Delay, Within] : {Case{0ms, 310ms}, Case{10ms, 450ms}}) {
    LeaderHarness Harness;
    Harness.m_Delay = Delay;
    Harness.run(1s);
    Harness.server("s1").m_Up = false;
    const Duration Gap = Harness.runUntil([&] { return Harness.isSettled(); });
    BOOST_TEST_MESSAGE("settled after " << Gap.count() / 1000 << " ms");
    BOOST_TEST((Gap <= Within));
    BOOST_TEST(Harness.group().m_Term.value() == 2U);
    BOOST_TEST((Harness.sync("s1") == SyncState::Behind));
    // The old primary restarts with its log, follows and becomes in sync again.
    Harness.server("s1").m_Up = true;
    Harness.runUntil([&] { return Harness.isInSync(); });
    BOOST_TEST(Harness.group().m_Term.value() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(IsolatedPrimaryWithOneSilentProxy) {
  // The primary is cut off from control, but not from the replicas and one
  // proxy, which is cut off too and whose clock may be wrong within the drift
  // bound.
  for (const double ClockRate : {0.99, 1.0, 1.01}) {
    BOOST_TEST_CONTEXT("clock rate " << ClockRate) {
      LeaderHarness Harness;
      FakeProxy &Silent = Harness.m_Proxies[0];
      Silent.setClockRate(ClockRate, Harness.m_Now);
      Harness.run(1s);
      BOOST_REQUIRE(Silent.acknowledges(Harness.m_Now));
      Silent.m_ReachesControl = false;
      Harness.server("s1").m_ReachesControl = false;
      Harness.server("s1").m_Announces = false;
      bool StillAcknowledged = false;
      Harness.m_OnAppoint = [&](const ServerId &) {
        StillAcknowledged = Silent.acknowledges(Harness.m_Now).has_value();
      };
      const Duration Gap =
          Harness.runUntil([&] { return Harness.group().m_Term == Term(2); });
      BOOST_TEST((Gap <= 450ms));
      BOOST_TEST(Silent.acknowledges(Harness.m_Now).has_value());
      const Duration Rest = Harness.runUntil(
          [&] { return Harness.group().m_Primary.has_value(); });
      BOOST_TEST(!StillAcknowledged);
      BOOST_TEST((Gap + Rest <= 1500ms));
      Harness.run(2s);
      BOOST_TEST(Harness.group().m_Term.value() == 2U);
    }
  }
}

BOOST_AUTO_TEST_CASE(NewLeaderContinuesChangeAtEachStep) {
  struct Case final {
    const char *m_Name; ///< Name in messages.
    std::function<bool(const LeaderHarness &)>
        m_At;               ///< When the new leader takes over.
    BackendCallKind m_Lost; ///< Kind of the old leader's calls that are lost.
  };
  const Case Cases[] = {
      {"before the end of the term",
       [](const LeaderHarness &Each) {
         return !Each.m_Servers.at(ServerId("s1")).m_Up;
       },
       BackendCallKind::Fence},
      {"before any server is fenced",
       [](const LeaderHarness &Each) { return !Each.group().m_Primary; },
       BackendCallKind::Fence},
      {"before the promotion",
       [](const LeaderHarness &Each) {
         return Each.group().m_Term == Term(2) && Each.group().m_Primary;
       },
       BackendCallKind::Promote},
      {"before the others follow",
       [](const LeaderHarness &Each) {
         return Each.m_Servers.at(ServerId("s2")).m_Promotions +
                    Each.m_Servers.at(ServerId("s3")).m_Promotions >
                0;
       },
       BackendCallKind::Follow},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      LeaderHarness Harness;
      Harness.m_DropCall = [&](const CallBackend &Action) {
        return Action.m_Kind == Each.m_Lost;
      };
      Harness.server("s1").m_Up = false;
      Harness.runUntil([&] { return Each.m_At(Harness); });
      Harness.m_DropCall = {};
      Harness.changeLeader();
      const Duration Rest =
          Harness.runUntil([&] { return Harness.isSettled(); });
      BOOST_TEST((Rest <= 1s));
      BOOST_TEST(Harness.group().m_Term.value() == 2U);
      Harness.run(3s);
      BOOST_TEST(Harness.group().m_Term.value() == 2U);
      BOOST_TEST(Harness.server("s2").m_Promotions +
                     Harness.server("s3").m_Promotions ==
                 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReplacesAppointedServerThatIsNotPromoted) {
  // Promote calls to s2 are lost, although its announcements arrive.
  LeaderHarness Harness;
  Harness.m_DropCall = [](const CallBackend &Action) {
    return Action.m_Kind == BackendCallKind::Promote &&
           Action.m_Server == ServerId("s2");
  };
  Harness.server("s1").m_Up = false;
  Harness.server("s3").m_Applies = false;
  Harness.run(50ms);
  Harness.server("s3").m_Applies = true;
  const Duration Gap = Harness.runUntil([&] { return Harness.isSettled(); });
  BOOST_TEST(Harness.group().m_Primary->value() == "s3");
  BOOST_TEST(Harness.group().m_Term.value() == 3U);
  BOOST_TEST((Gap <= 2s));
}

BOOST_AUTO_TEST_CASE(DrainsLeavingPrimary) {
  LeaderHarness Harness;
  Harness.server("s1").m_Leaving = true;
  Harness.runUntil(
      [&] { return Harness.group().m_Servers.at(ServerId("s1")).m_Leaving; });
  const Duration Drained =
      Harness.runUntil([&] { return Harness.group().m_Term == Term(2); });
  BOOST_TEST((Drained >= 200ms && Drained <= 250ms));
  // A proxy that does not confirm delays the change for at most one second.
  LeaderHarness Unconfirming;
  Unconfirming.m_Proxies[0].m_Confirms = false;
  Unconfirming.server("s1").m_Leaving = true;
  const Duration Limit = Unconfirming.runUntil(
      [&] { return Unconfirming.group().m_Term == Term(2); });
  BOOST_TEST((Limit >= 1s && Limit <= 1200ms));
}

BOOST_AUTO_TEST_CASE(NewLeaderWaitsForLeaseOfSilentProxy) {
  // The proxy renewed its lease with the old leader just before it was cut off.
  LeaderHarness Harness;
  FakeProxy &Silent = Harness.m_Proxies[0];
  Silent.m_ReachesControl = false;
  Harness.server("s1").m_ReachesControl = false;
  Harness.server("s1").m_Announces = false;
  Harness.run(200ms);
  Harness.changeLeader();
  bool StillAcknowledged = true;
  Harness.m_OnAppoint = [&](const ServerId &) {
    StillAcknowledged = Silent.acknowledges(Harness.m_Now).has_value();
  };
  Harness.runUntil([&] {
    return Harness.group().m_Term == Term(2) &&
           Harness.group().m_Primary.has_value();
  });
  BOOST_TEST(!StillAcknowledged);
}

BOOST_AUTO_TEST_CASE(ReplacesPrimaryLostSoonAfterChange) {
  for (const Duration Later : {0ms, 100ms, 1000ms, 5000ms}) {
    BOOST_TEST_CONTEXT("after " << Later.count() / 1000 << " ms") {
      LeaderHarness Harness;
      Harness.server("s1").m_Up = false;
      Harness.runUntil([&] { return Harness.isSettled(); });
      Harness.run(Later);
      Harness.primary().m_Up = false;
      const Duration Gap = Harness.runUntil(
          [&] { return Harness.isSettled() && Harness.primary().m_Up; });
      BOOST_TEST((Gap <= 600ms));
      // The first server restarts, so that there are two copies again.
      Harness.server("s1").m_Up = true;
      Harness.runUntil([&] { return Harness.isInSync(); });
    }
  }
}

BOOST_AUTO_TEST_CASE(EndsTermOnlyOnSufficientEvidence) {
  using enum SuspicionKind;
  struct Case final {
    const char *m_Name;      ///< Name in messages.
    std::size_t m_Reporting; ///< Number of reporting proxies.
    SuspicionKind
        m_Kind;        ///< What they report, beginning 150 ms before the fault.
    Duration m_Until;  ///< When they stop reporting, relative to the fault.
    bool m_Announces;  ///< The primary's announcements still reach the leader.
    bool m_Answers;    ///< The primary still answers calls of the leader.
    Duration m_After;  ///< Earliest time at which the term may end.
    Duration m_Within; ///< Latest time at which the term ends; 0: it does not
                       ///< end within 3 s.
  };
  const Case Cases[] = {
      {"one proxy against announcements", 1, ConnectRefused, 3s, true, true,
       0ms, 0ms},
      {"one proxy, control does not reach it either", 1, ConnectRefused, 3s,
       true, false, 0ms, 0ms},
      {"all proxies, but control reaches it", 3, ConnectRefused, 3s, true, true,
       0ms, 0ms},
      {"two of three, control does not reach it either", 2, ConnectRefused, 3s,
       true, false, 50ms, 1200ms},
      {"nobody, announcements lost for a while", 0, ConnectRefused, 3s, false,
       true, 900ms, 1200ms},
      {"one proxy and silence", 1, ConnectRefused, 3s, false, false, 50ms,
       200ms},
      {"a silent connection and silence", 1, Silent, 3s, false, false, 250ms,
       300ms},
      {"a report long before and silence", 1, Reset, -100ms, false, false,
       250ms, 300ms},
      {"silence alone", 0, ConnectRefused, 3s, false, false, 250ms, 300ms},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      LeaderHarness Harness;
      FakeServer &Primary = Harness.server("s1");
      Duration Ended{0};
      for (Duration Passed = -150ms; Passed < 3s; Passed += 50ms) {
        Primary.m_Announces = Each.m_Announces || Passed < 0ms;
        Primary.m_ReachesControl = Each.m_Answers || Passed < 0ms;
        for (std::size_t Index = 0; Index < Each.m_Reporting; ++Index) {
          if (Passed < Each.m_Until)
            Harness.m_Leader->suspicionReported(
                {Harness.m_Proxies[Index].m_Session, TheGroup, ServerId("s1"),
                 Each.m_Kind},
                Harness.m_Now);
        }
        Harness.run(50ms);
        if (Harness.group().m_Term != Term(1) && Ended == 0ms)
          Ended = Passed + 50ms;
      }
      BOOST_TEST_MESSAGE(Each.m_Name << ": " << Ended.count() / 1000 << " ms");
      BOOST_TEST((Ended >= Each.m_After));
      BOOST_TEST((Each.m_Within == 0ms
                      ? Ended == 0ms
                      : Ended > 0ms && Ended <= Each.m_Within));
    }
  }
}

BOOST_AUTO_TEST_CASE(BoundsChangesWithFlappingPrimary) {
  LeaderHarness Harness;
  // Each new primary is down for 400 ms.
  for (Duration Passed{0}; Passed < 30s; Passed += 800ms) {
    if (Harness.group().m_Primary) {
      FakeServer &Flapping = Harness.primary();
      Flapping.m_Up = false;
      Harness.run(400ms);
      Flapping.m_Up = true;
    }
    Harness.run(400ms);
  }
  const std::uint64_t Changes = Harness.group().m_Term.value() - 1;
  BOOST_TEST_MESSAGE(Changes << " changes in 30 s");
  BOOST_TEST(Changes >= 1U);
  BOOST_TEST(Changes <= 3U + 3U);
}

BOOST_AUTO_TEST_SUITE_END()
