#include "ragwortmux/Connection/AdmissionControl.h"
#include "ragwortmux/Connection/IsReadyForCallers.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;

/// The admission control of a process that has just started, and the result for
/// each caller.
struct AdmissionFixture {
  void admitCaller() {
    m_AdmissionControl.admit(m_Now, [this](ResultCode Code) {
      m_Results.push_back(static_cast<int>(Code));
    });
  }
  void advance(Duration Length) {
    m_Now += Length;
    m_AdmissionControl.tick(m_Now);
  }

  Instant m_Now{std::chrono::hours(1)};
  AdmissionControl m_AdmissionControl{m_Now, milliseconds(1200)};
  std::vector<int> m_Results;
};

constexpr int Admitted = static_cast<int>(ResultCode::Ok);
constexpr int NoLease = static_cast<int>(ResultCode::NotRunNoLease);
constexpr int Draining = static_cast<int>(ResultCode::NotRunDraining);

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionControlTest, AdmissionFixture)

BOOST_AUTO_TEST_CASE(CallersWaitForCatalogueAfterRestart) {
  // After a power loss of all hosts, callers reconnect after 100 ms; control
  // needs 700 ms to deliver the catalogue.
  advance(milliseconds(100));
  admitCaller();
  admitCaller();
  advance(milliseconds(600));
  BOOST_TEST(m_Results.empty());
  m_AdmissionControl.open();
  BOOST_TEST((m_Results == std::vector<int>{Admitted, Admitted}));
  admitCaller();
  BOOST_TEST((m_Results == std::vector<int>{Admitted, Admitted, Admitted}));
}

BOOST_AUTO_TEST_CASE(RefusesWaitingCallersAfterMaximumWait) {
  admitCaller();
  advance(milliseconds(1199));
  BOOST_TEST(m_Results.empty());
  advance(milliseconds(1));
  BOOST_TEST((m_Results == std::vector<int>{NoLease}));
  admitCaller();
  BOOST_TEST((m_Results == std::vector<int>{NoLease, NoLease}));
  m_AdmissionControl.open();
  admitCaller();
  BOOST_TEST(m_Results.back() == Admitted);
}

BOOST_AUTO_TEST_CASE(RefusesCallersImmediatelyAfterClose) {
  admitCaller();
  m_AdmissionControl.close();
  BOOST_TEST((m_Results == std::vector<int>{Draining}));
  m_AdmissionControl.open();
  admitCaller();
  BOOST_TEST((m_Results == std::vector<int>{Draining, Draining}));
}

// A failure domain is cut off right after a lease renewal. Leases last 1.1 s
// and are renewed every 300 ms.

BOOST_AUTO_TEST_CASE(HostIsReadyUntilLeaseRenewalIsOverdue) {
  constexpr auto Lease = milliseconds(1100);
  const Instant Renewed = m_Now;
  for (const int SinceRenewalMs : {0, 300, 330, 600})
    BOOST_TEST(isReadyForCallers(Renewed + milliseconds(SinceRenewalMs),
                                 Renewed + Lease, Lease));
  for (const int SinceRenewalMs : {610, 1100, 5000})
    BOOST_TEST(!isReadyForCallers(Renewed + milliseconds(SinceRenewalMs),
                                  Renewed + Lease, Lease));
}

// The load balancer probes each host once a second and removes it after two
// failed probes. A loss of control that is shorter than that must not remove
// any host, whenever its probes are.
BOOST_AUTO_TEST_CASE(ShortLossOfControlKeepsHostInRotation) {
  constexpr auto Lease = milliseconds(1100);
  constexpr auto ProbeInterval = milliseconds(1000);
  constexpr auto LongestLoss = milliseconds(1500);
  const auto IsProbeFailed = [=](Duration SinceRenewal) {
    return SinceRenewal < LongestLoss &&
           !isReadyForCallers(Instant(SinceRenewal), Instant(Lease), Lease);
  };
  for (Duration Probe{0}; Probe < LongestLoss; Probe += milliseconds(10))
    BOOST_TEST(!(IsProbeFailed(Probe) && IsProbeFailed(Probe + ProbeInterval)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
