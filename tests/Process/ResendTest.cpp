#include "KeyedBooking.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <future>
#include <latch>
#include <ostream>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

void checkRanOnce(const KeyedBooking &Booking) {
  BOOST_TEST(Booking.countRuns() == 1U);
  BOOST_TEST(Booking.value() == "1");
}

/// Checks that each host answers a resend with the recorded answer.
void checkRecordedAnswer(const KeyedBooking &Booking) {
  for (const unsigned Host : {0U, 1U, 2U}) {
    const PgAnswer Again = Booking.resend(Host);
    BOOST_TEST_CONTEXT("host " << Host << ", " << Again.m_Message) {
      BOOST_TEST(Again.m_Ok);
      BOOST_TEST(Again.m_Tag == "UPDATE 1");
    }
  }
  checkRanOnce(Booking);
}

/// An event that recorded outcomes must survive.
struct EventCase final {
  const char *m_Name;         ///< Description of the event.
  void (*m_Cause)(Cluster &); ///< Causes the event.
};

std::ostream &operator<<(std::ostream &Stream, const EventCase &Case) {
  return Stream << Case.m_Name;
}

const std::vector<EventCase> Events = {
    {"the primary is lost", [](Cluster &System) { System.server(0).kill(); }},
    {"all control hosts restart", [](Cluster &System) {
       for (const unsigned Host : {0U, 1U, 2U}) {
         System.host(Host).kill();
       }
       for (const unsigned Host : {0U, 1U, 2U}) {
         System.startHost(Host);
       }
     }}};

} // namespace

BOOST_AUTO_TEST_SUITE(ResendTest, *boost::unit_test::label("promise-6"))

BOOST_AUTO_TEST_CASE(ResendGetsRecordedAnswerFromAnyProxy) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  KeyedBooking Booking(System, "once");
  BOOST_REQUIRE(Booking.createRow());
  BOOST_TEST(Booking.send(0).m_Ok);
  checkRecordedAnswer(Booking);
}

BOOST_AUTO_TEST_CASE(ConcurrentSendsThroughTwoProxiesRunOnce) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  for (unsigned Round = 0; Round < 20; ++Round) {
    KeyedBooking Booking(System, "race-" + std::to_string(Round));
    BOOST_REQUIRE(Booking.createRow());
    std::latch Start(2);
    const auto Send = [&](unsigned Host) {
      Start.arrive_and_wait();
      return Booking.send(Host);
    };
    auto Other = std::async(std::launch::async, Send, 1);
    const std::array Answers = {Send(0), Other.get()};
    for (const PgAnswer &Answer : Answers) {
      BOOST_TEST((Answer.m_Ok || Answer.m_SqlState == "55006"),
                 Answer.m_SqlState << " " << Answer.m_Message);
    }
    BOOST_TEST((Answers[0].m_Ok || Answers[1].m_Ok));
    BOOST_TEST(Booking.resend(2).m_Ok);
    checkRanOnce(Booking);
  }
}

BOOST_DATA_TEST_CASE(RecordedOutcomesSurvive,
                     boost::unit_test::data::make(Events), Case) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  std::vector<KeyedBooking> Bookings;
  for (unsigned Number = 0; Number < 5; ++Number) {
    Bookings.emplace_back(System, "kept-" + std::to_string(Number));
    BOOST_REQUIRE(Bookings.back().createRow());
    BOOST_REQUIRE(Bookings.back().send(Number % 3).m_Ok);
  }
  Case.m_Cause(System);
  BOOST_REQUIRE(System.bookUntilAcknowledged(1, "next"));
  for (const KeyedBooking &Booking : Bookings) {
    checkRecordedAnswer(Booking);
  }
}

BOOST_AUTO_TEST_CASE(RejectsKeysOutsideRetention) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  for (const int AgeHours : {25, 1000, -25}) {
    KeyedBooking Booking(System, "old" + std::to_string(AgeHours),
                         generateRequestKey(std::chrono::hours(AgeHours)));
    BOOST_REQUIRE(Booking.createRow());
    const PgAnswer Refused = Booking.send(0);
    BOOST_TEST(Refused.m_SqlState == "72002", AgeHours << Refused.m_Message);
    BOOST_TEST(Booking.countRuns() == 0U);
  }
  KeyedBooking Recent(System, "young",
                      generateRequestKey(std::chrono::hours(23)));
  BOOST_REQUIRE(Recent.createRow());
  BOOST_TEST(Recent.send(0).m_Ok);
  checkRecordedAnswer(Recent);
}

BOOST_AUTO_TEST_SUITE_END()
