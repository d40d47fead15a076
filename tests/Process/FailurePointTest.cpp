#include "Cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace ragwortmux;

namespace {

constexpr unsigned DeadlineMs = 1500;
/// The deadline plus the time to detect that it has passed.
constexpr auto AnswerTimeout = std::chrono::milliseconds(DeadlineMs + 500);

/// True if \p SqlState means, by docs/RESULT_CODES.md, that nothing was run.
bool meansNotRun(const std::string &SqlState) {
  static constexpr std::array NotRun = {
      "57P03", "53300", "57014", "08001", "57P01", "72000", "3D000",
      "72001", "72002", "40001", "72003", "55006", "0A000"};
  return std::ranges::find(NotRun, SqlState) != NotRun.end();
}

/// Checks the answer to a booking against the number of its runs in the commit
/// records.
void checkAnswerMatchesRuns(const PgAnswer &Answer, std::size_t Runs) {
  const std::string &ReceivedState = Answer.m_SqlState;
  BOOST_TEST_CONTEXT("answer '" << ReceivedState << "' " << Answer.m_Message) {
    if (Answer.m_Ok || ReceivedState == "72004" || ReceivedState == "72005") {
      BOOST_TEST(Runs == 1U);
    } else if (meansNotRun(ReceivedState)) {
      BOOST_TEST(Runs == 0U);
    } else {
      BOOST_TEST(ReceivedState == "08007");
      BOOST_TEST(Runs <= 1U);
    }
  }
}

/// Whether the request has a request key.
enum class KeyMode { Keyed, Unkeyed };

struct FailureCase final {
  const char *m_Fault;                  ///< Server fault that loses the answer.
  KeyMode m_KeyMode;                    ///< Whether it has a request key.
  std::vector<std::string> m_SqlStates; ///< Allowed SQLSTATEs; "" is success.
  std::size_t m_Runs;                   ///< Runs in the commit records.
};

const std::vector<FailureCase> FailurePoints = {
    {"drop_before_run", KeyMode::Keyed, {""}, 1},
    {"drop_before_run", KeyMode::Unkeyed, {"08007", "08001", "40001"}, 0},
    {"drop_before_commit", KeyMode::Keyed, {""}, 1},
    {"drop_before_commit", KeyMode::Unkeyed, {"08007", "40001"}, 0},
    {"drop_after_commit", KeyMode::Keyed, {"", "72004"}, 1},
    {"drop_after_commit", KeyMode::Unkeyed, {"08007"}, 1},
    {"silent_after_commit", KeyMode::Keyed, {"08007", "72004"}, 1},
    {"silent_after_commit", KeyMode::Unkeyed, {"08007"}, 1}};

/// Sends the message and waits for the answer for at most AnswerTimeout. If
/// there is none by then, or the message cannot be sent, the SQLSTATE of the
/// returned answer is `late`.
PgAnswer sendWithTimeout(Cluster &System, unsigned Host, const char *Entry,
                         const std::string &Sql,
                         const CallerSettings &Settings = {}) {
  PgAnswer TimedOut;
  TimedOut.m_SqlState = "late";
  PgClient Caller(System.callerPort(Host));
  if (!Caller.connect(callerOptions(Settings), Entry) || !Caller.send(Sql)) {
    return TimedOut;
  }
  return Caller.receive(AnswerTimeout).value_or(TimedOut);
}

} // namespace

BOOST_AUTO_TEST_SUITE(FailurePointTest, *boost::unit_test::label("promise-5"))

BOOST_AUTO_TEST_CASE(DetectsSilentConnectionsWithinDeadline) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  for (const auto &[Name, Class] :
       {std::pair{"b", "booking"}, std::pair{"s", "session-read"},
        std::pair{"a", "aged-read"}}) {
    BOOST_REQUIRE(
        System.createEntry(Name, Class, {{"deadline_ms", DeadlineMs}}));
  }
  BOOST_REQUIRE(System.book(0, "row", "", "clerk").m_Ok);
  // Opens a connection in every pool: the fault applies to open connections.
  for (const unsigned Host : {0U, 1U, 2U}) {
    for (const char *Entry : {"b", "s", "a"}) {
      BOOST_TEST(sendWithTimeout(System, Host, Entry, "SELECT 'x'").m_Ok);
    }
  }
  for (const unsigned Server : {0U, 1U, 2U}) {
    BOOST_REQUIRE(System.setFault(Server, "silent_connections", 1));
  }
  std::vector<std::thread> Callers;
  std::mutex Mutex;
  std::vector<std::pair<std::string, PgAnswer>> Bookings;
  std::vector<PgAnswer> Reads;
  for (const unsigned Host : {0U, 1U, 2U}) {
    for (const bool Keyed : {false, true}) {
      Callers.emplace_back([&, Host, Keyed] {
        const std::string Key = "'quiet-" + std::to_string(Host) +
                                (Keyed ? "-keyed'" : "-unkeyed'");
        const auto Answer = sendWithTimeout(
            System, Host, "b", "INSERT INTO hires VALUES (" + Key + ", '1')",
            Keyed ? CallerSettings{{"request_key", generateRequestKey()}}
                  : CallerSettings());
        const std::lock_guard Lock(Mutex);
        Bookings.emplace_back(Key, Answer);
      });
    }
    for (const char *Entry : {"s", "a"}) {
      Callers.emplace_back([&, Host, Entry] {
        const auto Answer = sendWithTimeout(
            System, Host, Entry, "SELECT v FROM hires WHERE k = 'row'",
            {{"session", "clerk"}});
        const std::lock_guard Lock(Mutex);
        Reads.push_back(Answer);
      });
    }
  }
  for (std::thread &Caller : Callers) {
    Caller.join();
  }
  for (const PgAnswer &Read : Reads) {
    BOOST_TEST(Read.value() == "dryer", Read.m_SqlState << Read.m_Message);
  }
  BOOST_REQUIRE(System.bookUntilAcknowledged(0, "after"));
  for (const auto &[Key, Answer] : Bookings) {
    checkAnswerMatchesRuns(Answer, System.countCommits(Key));
  }
}

BOOST_AUTO_TEST_CASE(AnswersAgreeWithCommitRecords) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  BOOST_REQUIRE(
      System.createEntry("b", "booking", {{"deadline_ms", DeadlineMs}}));
  unsigned Number = 0;
  for (const FailureCase &Case : FailurePoints) {
    const bool Keyed = Case.m_KeyMode == KeyMode::Keyed;
    BOOST_TEST_CONTEXT(Case.m_Fault << (Keyed ? ", keyed" : ", unkeyed")) {
      const std::string Key = "'failure-" + std::to_string(++Number) + "'";
      const int Primary = System.primary();
      BOOST_REQUIRE(Primary >= 0);
      BOOST_REQUIRE(
          System.setFault(static_cast<unsigned>(Primary), Case.m_Fault, 1));
      const auto Answer = sendWithTimeout(
          System, Number % 3, "b", "INSERT INTO hires VALUES (" + Key + ",'1')",
          Keyed ? CallerSettings{{"request_key", generateRequestKey()}}
                : CallerSettings());
      BOOST_TEST(std::ranges::count(Case.m_SqlStates, Answer.m_SqlState) == 1,
                 Answer.m_SqlState << " " << Answer.m_Message);
      BOOST_REQUIRE(
          System.bookUntilAcknowledged(0, "after-" + std::to_string(Number)));
      BOOST_TEST(System.countCommits(Key) == Case.m_Runs);
      checkAnswerMatchesRuns(Answer, System.countCommits(Key));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
