#include "Cluster.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace ragwortmux;

namespace {} // namespace

BOOST_AUTO_TEST_SUITE(AnswerTest)

BOOST_AUTO_TEST_CASE(RejectsAnswerAboveLimitWithoutPartialRows,
                     *boost::unit_test::label("promise-4")) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  constexpr unsigned Limit = 4096;
  for (const char *Class : {"write", "aged-read", "session-read", "booking"}) {
    const std::string Name = std::string("small-") + Class;
    BOOST_REQUIRE(
        System.createEntry(Name.c_str(), Class, {{"max_answer_bytes", Limit}}));
    PgClient Caller(System.callerPort(1));
    BOOST_REQUIRE(Caller.connect("", Name));
    for (const unsigned Bytes : {5000U, 1000000U, 3000U}) {
      BOOST_TEST_CONTEXT(Class << ", " << Bytes << " bytes") {
        const auto Answer =
            Caller.query("SELECT repeat('x', " + std::to_string(Bytes) + ")");
        const bool Fits = Bytes < Limit;
        BOOST_TEST(Answer.m_Ok == Fits);
        BOOST_TEST(Answer.m_SqlState == (Fits ? "" : "54000"));
        BOOST_TEST(Answer.value() == std::string(Fits ? Bytes : 0, 'x'));
        BOOST_TEST(Caller.query("SELECT 'own'").value() == "own");
      }
    }
  }
  // A booking whose answer exceeds the limit has been executed nevertheless.
  const auto BookingAnswer = runOnce(System.callerPort(0), "small-booking",
                                     "INSERT INTO hires VALUES ('big', '1'); "
                                     "SELECT repeat('x', 5000)");
  BOOST_TEST(BookingAnswer.m_SqlState == "54000",
             BookingAnswer.m_SqlState << BookingAnswer.m_Message);
  BOOST_TEST(System.countCommits("'big'") == 1U);
}

BOOST_AUTO_TEST_CASE(LateAnswersAreNotDeliveredToOtherRequests,
                     *boost::unit_test::label("promise-4")) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  BOOST_REQUIRE(
      System.createEntry("brief-reads", "aged-read", {{"deadline_ms", 60}}));
  BOOST_REQUIRE(
      System.createEntry("brief-writes", "write", {{"deadline_ms", 60}}));
  std::atomic<unsigned> Correct = 0;
  std::atomic<unsigned> Failed = 0;
  std::atomic<unsigned> Wrong = 0;
  const auto Call = [&](unsigned Caller, unsigned Count) {
    const char *Entry = Caller % 2 == 0 ? "brief-reads" : "brief-writes";
    PgClient Client(System.callerPort(Caller % 3));
    if (!Client.connect("", Entry)) {
      ++Wrong;
      return;
    }
    for (unsigned Number = 0; Number < Count; ++Number) {
      const std::string Value =
          std::to_string(Caller) + "/" + std::to_string(Number);
      const auto Answer = Client.query("SELECT '" + Value + "'");
      if (!Answer.m_Ok) {
        ++Failed;
      } else if (Answer.value() == Value && Answer.m_Rows.size() == 1) {
        ++Correct;
      } else {
        ++Wrong;
      }
    }
  };
  // While the callers run, the servers alternate between answers after and
  // before the deadline.
  std::vector<std::thread> Callers;
  for (unsigned Caller = 0; Caller < 12; ++Caller) {
    Callers.emplace_back(Call, Caller, 60);
  }
  for (unsigned Round = 0; Round < 6; ++Round) {
    for (const unsigned Server : {0U, 1U, 2U}) {
      System.setFault(Server, "answer_delay_ms", Round % 2 == 0 ? 90 : 0);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  for (std::thread &Caller : Callers) {
    Caller.join();
  }
  BOOST_TEST(Wrong == 0U);
  BOOST_TEST(Failed > 0U);
  BOOST_TEST(Correct > 0U);
}

BOOST_AUTO_TEST_CASE(RetriesReadAfterConnectionLoss,
                     *boost::unit_test::label("promise-5")) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  BOOST_REQUIRE(System.book(0, "row", "", "clerk").m_Ok);
  for (const unsigned DroppingServer : {0U, 1U, 2U}) {
    BOOST_REQUIRE(System.setFault(DroppingServer, "drop_before_run", 1));
    for (const unsigned Host : {0U, 1U, 2U}) {
      const auto Read = System.read(Host, "row", "clerk");
      BOOST_TEST(Read.value() == "dryer", Read.m_SqlState << Read.m_Message);
      const auto Aged = runOnce(System.callerPort(Host), "stock",
                                "SELECT v FROM hires WHERE k = 'row'");
      BOOST_TEST(Aged.value() == "dryer", Aged.m_SqlState << Aged.m_Message);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
