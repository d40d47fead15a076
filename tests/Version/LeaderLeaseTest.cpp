#include "LeaderHarness.h"

#include <boost/test/unit_test.hpp>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

template <typename Action> std::size_t count(ControlLeader &Leader) {
  std::size_t Count = 0;
  for (const ControlAction &Each : Leader.takeActions())
    Count += std::holds_alternative<Action>(Each) ? 1 : 0;
  return Count;
}

LeaseRenewal renewal(std::uint64_t Session, std::uint64_t Sequence) {
  LeaseRenewal Renewal;
  Renewal.m_Session = ControlSessionId(Session);
  Renewal.m_Sequence = Sequence;
  return Renewal;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Leases, *boost::unit_test::label("promise-2"))

BOOST_AUTO_TEST_CASE(ProxyMeasuresLeaseFromSendTime) {
  const ControlSessionId First(1);
  const ControlSessionId Second(2);
  const Instant Zero{1h};
  ProxyLease Lease;
  BOOST_TEST(!Lease.renewalGranted(ControlSessionId(), 1, 1200ms));
  Lease.sessionOpened(First);
  const std::uint64_t Early = Lease.renewalSent(Zero);
  const std::uint64_t Late = Lease.renewalSent(Zero + 300ms);
  BOOST_TEST(!Lease.renewalGranted(Second, Late, 1200ms));
  BOOST_TEST(!Lease.renewalGranted(First, Late + 1, 1200ms));
  BOOST_TEST(Lease.renewalGranted(First, Late, 1200ms));
  // 1200 ms minus 1 % and 20 ms, counted from the sending.
  BOOST_TEST((Lease.validUntil() == Zero + 300ms + 1168ms));
  BOOST_TEST(Lease.isValid(Zero + 1467ms));
  BOOST_TEST(!Lease.isValid(Zero + 1468ms));
  // Late and repeated answers have no effect.
  BOOST_TEST(!Lease.renewalGranted(First, Early, 1200ms));
  BOOST_TEST(!Lease.renewalGranted(First, Late, 1200ms));
  // A new session ends the lease and discards outstanding renewals.
  const std::uint64_t Last = Lease.renewalSent(Zero + 600ms);
  Lease.sessionOpened(Second);
  BOOST_TEST(!Lease.isValid(Zero + 601ms));
  BOOST_TEST(!Lease.renewalGranted(Second, Last, 1200ms));
}

BOOST_AUTO_TEST_CASE(LeaderLeaseOutlastsProxyLeaseWithinDriftBound) {
  // Leader and proxy measure the same duration with clocks that differ by up to
  // 1 %.
  const DriftBound Drift;
  for (const Duration Length : {300ms, 1200ms, 10000ms}) {
    for (const double Rate : {0.99, 1.0, 1.01}) {
      ProxyLease Lease;
      Lease.sessionOpened(ControlSessionId(1));
      const std::uint64_t Sequence = Lease.renewalSent(Instant(0ms));
      Lease.renewalGranted(ControlSessionId(1), Sequence, Length);
      const Duration Proxy = Lease.validUntil().time_since_epoch();
      BOOST_TEST((Proxy / Rate < Length + Drift.of(Length)));
    }
  }
}

BOOST_AUTO_TEST_CASE(GrantNeedsQuorumRoundStartedAfterRenewal) {
  const ControlState State = makeState();
  ControlLeader Leader(State, {});
  Instant Now{1h};
  Leader.becameLeader(Now);
  Leader.takeActions();
  Leader.renewalReceived(renewal(1, 1), Now);
  BOOST_TEST(count<ConfirmLeadership>(Leader) == 1U);
  // The second renewal arrives while round 1 runs, which covers only the first.
  Leader.renewalReceived(renewal(2, 1), Now + 1ms);
  BOOST_TEST(count<ConfirmLeadership>(Leader) == 0U);
  Leader.leadershipConfirmed(1, Now + 5ms);
  std::size_t Grants = 0;
  for (const ControlAction &Each : Leader.takeActions()) {
    const auto *Grant = std::get_if<GrantRenewal>(&Each);
    if (Grant == nullptr)
      continue;
    ++Grants;
    BOOST_TEST(Grant->m_Session.value() == 1U);
    BOOST_TEST(Grant->m_Groups.size() == 1U);
  }
  BOOST_TEST(Grants == 1U);
  Leader.leadershipConfirmed(2, Now + 9ms);
  BOOST_TEST(count<GrantRenewal>(Leader) == 1U);
  // The renewal of a session that is not open is refused only after a round
  // too.
  Leader.renewalReceived(renewal(9, 1), Now);
  BOOST_TEST(count<RefuseRenewal>(Leader) == 0U);
  Leader.leadershipConfirmed(3, Now + 10ms);
  BOOST_TEST(count<RefuseRenewal>(Leader) == 1U);
}

BOOST_AUTO_TEST_CASE(IsolatedLeaderGrantsNothing) {
  LeaderHarness Harness;
  Harness.m_HasQuorum = false;
  Harness.run(1500ms);
  for (const FakeProxy &Proxy : Harness.m_Proxies)
    BOOST_TEST(!Proxy.acknowledges(Harness.m_Now).has_value());
  Harness.run(60s);
  // Late confirmations of its rounds arrive after it has become leader again.
  ControlLeader &Old = *Harness.m_Leader;
  Old.lostLeadership(Harness.m_Now);
  Old.takeActions();
  for (std::uint64_t Token = 1; Token < 10000; ++Token)
    Old.leadershipConfirmed(Token, Harness.m_Now);
  Old.becameLeader(Harness.m_Now);
  for (std::uint64_t Token = 1; Token < 10000; ++Token)
    Old.leadershipConfirmed(Token, Harness.m_Now);
  BOOST_TEST(count<GrantRenewal>(Old) == 0U);
  // It has discarded what it observed of servers and sessions.
  BOOST_TEST(Old.servers().find(TheGroup, ServerId("s1")) == nullptr);
}

BOOST_AUTO_TEST_CASE(EndsSilentSessionsAfterTheirLease) {
  LeaderHarness Harness;
  Harness.run(1s);
  FakeProxy &Dead = Harness.m_Proxies[0];
  Dead.m_ReachesControl = false;
  const Duration Gap = Harness.runUntil([&] {
    return Harness.m_State.sessions().find(Dead.m_Session) == nullptr;
  });
  BOOST_TEST((Gap > 900ms && Gap < 1300ms));
  // A new leader assumes that each open session has just got a whole lease.
  Harness.m_Proxies[1].m_ReachesControl = false;
  Harness.run(1000ms);
  Harness.changeLeader();
  Harness.run(1200ms);
  BOOST_TEST((Harness.m_State.sessions().find(Harness.m_Proxies[1].m_Session) !=
              nullptr));
  Harness.run(200ms);
  BOOST_TEST((Harness.m_State.sessions().find(Harness.m_Proxies[1].m_Session) ==
              nullptr));
}

BOOST_AUTO_TEST_CASE(DoesNotRenewSessionThatConfirmsNoRecords) {
  LeaderHarness Harness;
  Harness.m_Proxies[0].m_Confirms = false;
  Harness.server("s1").m_Up = false;
  const Duration Gap = Harness.runUntil([&] { return Harness.isSettled(); });
  BOOST_TEST((Gap > 1s && Gap < 3200ms));
}

BOOST_AUTO_TEST_SUITE_END()
