#include "KeyedBooking.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace ragwortmux;

namespace {

/// Point of time at which the proxy is killed.
struct DeathCase final {
  const char *m_Name;  ///< Description of the case.
  const char *m_Fault; ///< Server fault that delays the answer.
  unsigned m_Value;    ///< Value of the fault.
  bool m_AfterCommit;  ///< Kills the proxy after the commit.
};

/// SQLSTATE of a resend whose request was run but whose answer is lost.
constexpr const char *AnswerLost = "72004";

std::ostream &operator<<(std::ostream &Stream, const DeathCase &Case) {
  return Stream << Case.m_Name;
}

const std::vector<DeathCase> Deaths = {
    {"while the statement runs", "statement_delay_ms", 400, false},
    {"before the answer of the commit", "silent_after_commit", 1, true}};

} // namespace

BOOST_AUTO_TEST_SUITE(ProxyDeathTest, *boost::unit_test::label("promise-6"))

BOOST_DATA_TEST_CASE(ResendAfterProxyDeathDoesNotRunTwice,
                     boost::unit_test::data::make(Deaths), Case) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  KeyedBooking Booking(System, "held");
  BOOST_REQUIRE(Booking.createRow());
  BOOST_REQUIRE(System.setFault(0, Case.m_Fault, Case.m_Value));
  PgClient Caller(System.callerPort(2));
  BOOST_REQUIRE(Caller.connect(callerOptions(Booking.settings()), "bookings"));
  BOOST_REQUIRE(Caller.send(Booking.sql()));
  BOOST_REQUIRE(waitUntil([&] {
    return Case.m_AfterCommit ? Booking.countRuns() == 1
                              : System.counter(0, "slots_taken") == 1;
  }));
  System.host(2).kill();
  BOOST_REQUIRE(System.setFault(0, Case.m_Fault, 0));
  const PgAnswer Again = Booking.resend(1);
  BOOST_TEST(Again.m_SqlState == AnswerLost,
             Again.m_SqlState << Again.m_Message);
  BOOST_TEST(Again.m_Ok == (Again.m_SqlState.empty()));
  // From now on the outcome that the resend determined is the recorded one.
  BOOST_TEST(Booking.resend(0).m_SqlState == AnswerLost);
  BOOST_TEST(Booking.countRuns() == 1U);
  BOOST_TEST(Booking.value() == "1");
}

BOOST_AUTO_TEST_SUITE_END()
