#include "ragwortmux/Connection/Admissions.h"
#include "ragwortmux/Connection/IsReady.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;

/// The admissions of a process that has just started, and the result for each
/// caller.
struct Fixture {
  void call() {
    m_Admissions.admit(m_Now, [this](ResultCode Code) {
      m_Told.push_back(static_cast<int>(Code));
    });
  }
  void pass(Duration Length) {
    m_Now += Length;
    m_Admissions.tick(m_Now);
  }

  Instant m_Now{std::chrono::hours(1)};
  Admissions m_Admissions{m_Now, milliseconds(1200)};
  std::vector<int> m_Told;
};

constexpr int Taken = static_cast<int>(ResultCode::Ok);
constexpr int Elsewhere = static_cast<int>(ResultCode::NotRunNoLease);
constexpr int Draining = static_cast<int>(ResultCode::NotRunDraining);

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionsTest, Fixture)

BOOST_AUTO_TEST_CASE(CallersOfARestartWaitForTheCatalogue) {
  // After a power loss of all hosts, callers reconnect after 100 ms; control
  // needs 700 ms to deliver the catalogue.
  pass(milliseconds(100));
  call();
  call();
  pass(milliseconds(600));
  BOOST_TEST(m_Told.empty());
  m_Admissions.open();
  BOOST_TEST((m_Told == std::vector<int>{Taken, Taken}));
  call();
  BOOST_TEST((m_Told == std::vector<int>{Taken, Taken, Taken}));
}

BOOST_AUTO_TEST_CASE(NobodyWaitsLongerThanForTheFirstAnswer) {
  call();
  pass(milliseconds(1199));
  BOOST_TEST(m_Told.empty());
  pass(milliseconds(1));
  BOOST_TEST((m_Told == std::vector<int>{Elsewhere}));
  call();
  BOOST_TEST((m_Told == std::vector<int>{Elsewhere, Elsewhere}));
  m_Admissions.open();
  call();
  BOOST_TEST(m_Told.back() == Taken);
}

BOOST_AUTO_TEST_CASE(AProcessThatEndsRefusesAtOnce) {
  call();
  m_Admissions.close();
  BOOST_TEST((m_Told == std::vector<int>{Draining}));
  m_Admissions.open();
  call();
  BOOST_TEST((m_Told == std::vector<int>{Draining, Draining}));
}

// A failure domain is cut off right after a lease renewal. Leases last 1.1 s
// and are renewed every 300 ms.

BOOST_AUTO_TEST_CASE(AHostIsReadyUntilARenewalIsOverdue) {
  constexpr auto Lease = milliseconds(1100);
  const Instant Renewed = m_Now;
  for (const int Ms : {0, 300, 330, 600})
    BOOST_TEST(
        isReadyForCallers(Renewed + milliseconds(Ms), Renewed + Lease, Lease));
  for (const int Ms : {610, 1100, 5000})
    BOOST_TEST(
        !isReadyForCallers(Renewed + milliseconds(Ms), Renewed + Lease, Lease));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
