#include "StateBuilder.h"

#include <boost/test/unit_test.hpp>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

/// A ledger command and its expected result.
struct Step final {
  const char *m_Name;                   ///< Name in messages.
  ControlCommand m_Command;             ///< The command.
  ResultCode m_Code;                    ///< The expected code.
  std::optional<LedgerPhase> m_Phase{}; ///< The expected record's phase.
  const char *m_Attempt = "";           ///< The expected record's attempt.
};

const RequestKey Key = key(Start);

ReserveKey reserve(const std::string &Attempt, std::uint64_t Session = 1,
                   const RequestKey &Requested = Key, std::uint64_t OfTerm = 1,
                   const OwnerId &Owner = TheOwner) {
  return {Owner,    Requested,   AttemptId(Attempt), ControlSessionId(Session),
          TheGroup, Term(OfTerm)};
}

RecordOutcome record(const std::string &Attempt, ResultCode Code,
                     const std::string &Answer = "") {
  return {TheOwner, Key, AttemptId(Attempt), Code, Answer};
}

ResolveAttempt resolve(const std::string &Attempt, std::uint64_t Session,
                       std::uint64_t OfTerm, bool Committed) {
  return {TheOwner,     Key,      AttemptId(Attempt), ControlSessionId(Session),
          Term(OfTerm), Committed};
}

void run(ControlState &State, std::initializer_list<Step> Steps) {
  for (const Step &Each : Steps) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      const ControlResult Result = State.apply(Each.m_Command);
      BOOST_TEST((Result.m_Code == Each.m_Code), Result.m_Reason);
      if (!Each.m_Phase)
        continue;
      BOOST_REQUIRE(Result.m_Ledger);
      BOOST_TEST((Result.m_Ledger->m_Phase == *Each.m_Phase));
      BOOST_TEST(Result.m_Ledger->m_Attempt.value() == Each.m_Attempt);
    }
  }
}

constexpr auto Reserved = LedgerPhase::Reserved;
constexpr auto Ran = LedgerPhase::Ran;
constexpr auto NotRun = LedgerPhase::NotRun;

} // namespace

BOOST_AUTO_TEST_SUITE(Ledger, *boost::unit_test::label("promise-6"))

BOOST_AUTO_TEST_CASE(ReservesKeyForOneAttemptAtATime) {
  ControlState State = makeState();
  run(State,
      {{"first", reserve("a", 1), ResultCode::Ok, Reserved, "a"},
       {"proposed twice", reserve("a", 1), ResultCode::Ok, Reserved, "a"},
       {"same proxy again", reserve("b", 1), ResultCode::NotRunKeyInUse,
        Reserved, "a"},
       {"other proxy", reserve("c", 2), ResultCode::NotRunKeyInUse, Reserved,
        "a"},
       {"outcome of another attempt", record("c", ResultCode::Ok),
        ResultCode::NotRunKeyInUse, Reserved, "a"},
       {"unknown is no outcome", record("a", ResultCode::OutcomeUnknown),
        ResultCode::BadArgument},
       {"outcome", record("a", ResultCode::Ok, "row"), ResultCode::Ok, Ran,
        "a"},
       {"outcome again", record("a", ResultCode::Ok, "row"), ResultCode::Ok,
        Ran, "a"},
       {"other outcome", record("a", ResultCode::NotRunRolledBack),
        ResultCode::BadArgument, Ran, "a"},
       {"resend", reserve("d", 2), ResultCode::RanEarlier, Ran, "a"},
       {"resend in an old term", reserve("d", 2, Key, 0),
        ResultCode::RanEarlier, Ran, "a"}});
  BOOST_TEST(State.ledger().find(TheOwner, Key)->m_Answer == "row");
}

BOOST_AUTO_TEST_CASE(AllowsNewAttemptAfterNotRun,
                     *boost::unit_test::label("promise-5")) {
  ControlState State = makeState();
  run(State,
      {{"first", reserve("a"), ResultCode::Ok, Reserved, "a"},
       {"rolled back", record("a", ResultCode::NotRunRolledBack),
        ResultCode::Ok, NotRun, "a"},
       {"the same attempt", reserve("a"), ResultCode::NotRunBadRequest, NotRun,
        "a"},
       {"another attempt", reserve("b", 2), ResultCode::Ok, Reserved, "b"},
       {"late outcome of the first attempt", record("a", ResultCode::Ok),
        ResultCode::NotRunKeyInUse, Reserved, "b"}});
}

BOOST_AUTO_TEST_CASE(ResolvesReservationOfEndedSession) {
  for (const bool Committed : {false, true}) {
    ControlState State = makeState();
    run(State,
        {{"first", reserve("a", 1), ResultCode::Ok, Reserved, "a"},
         {"holder is alive", resolve("a", 2, 1, false),
          ResultCode::NotRunKeyInUse, Reserved, "a"},
         {"holder ends", EndSession{ControlSessionId(1)}, ResultCode::Ok},
         {"resolver is not open", resolve("a", 1, 1, false),
          ResultCode::NotRunNoLease},
         {"term ends", EndTerm{TheGroup, Term(2)}, ResultCode::Ok},
         {"no primary to resolve the attempt", resolve("a", 2, 2, false),
          ResultCode::NotRunTermRefused},
         {"next primary", AppointPrimary{TheGroup, Term(2), ServerId("s2"), {}},
          ResultCode::Ok},
         {"outcome from the replaced primary", resolve("a", 2, 1, false),
          ResultCode::NotRunTermRefused},
         {"outcome from the current primary", resolve("a", 2, 2, Committed),
          ResultCode::Ok, Committed ? Ran : NotRun, "a"},
         {"second resolver", resolve("a", 3, 2, !Committed),
          ResultCode::NotRunKeyInUse, Committed ? Ran : NotRun, "a"},
         {"late outcome", record("a", ResultCode::Ok, "row"),
          Committed ? ResultCode::Ok : ResultCode::BadArgument},
         {"resend", reserve("b", 3, Key, 2),
          Committed ? ResultCode::RanEarlier : ResultCode::Ok,
          Committed ? Ran : Reserved, Committed ? "a" : "b"}});
    BOOST_TEST(State.ledger().find(TheOwner, Key)->m_Answer == "");
  }
}

BOOST_AUTO_TEST_CASE(ReservationNeedsSessionTermAndTime) {
  ControlState State = makeState();
  const RequestKey Upper("0190ABCD-1234-7ABC-8DEF-0123456789AB");
  run(State,
      {{"no session", reserve("a", 9), ResultCode::NotRunNoLease},
       {"old term", reserve("a", 1, Key, 7), ResultCode::NotRunTermRefused},
       {"no UUID", reserve("a", 1, RequestKey("x")),
        ResultCode::NotRunBadRequest},
       {"version 4",
        reserve("a", 1, RequestKey("0190abcd-1234-4abc-8def-0123456789ab")),
        ResultCode::NotRunBadRequest},
       {"no attempt", reserve(""), ResultCode::NotRunBadRequest},
       {"reserved", reserve("a"), ResultCode::Ok, Reserved, "a"},
       {"another owner's key of the same name",
        reserve("z", 1, Key, 1, OwnerId("other")), ResultCode::Ok, Reserved,
        "z"}});
  ControlState NoTime;
  BOOST_TEST((NoTime.apply(reserve("a")).m_Code ==
              ResultCode::NotRunLedgerUnavailable));
  // Upper-case and lower-case spellings are the same key.
  State.apply(AdvanceTime{Start + std::chrono::hours(24)});
  std::string Text = key(Start + std::chrono::hours(24), 0xabc).value();
  run(State, {{"lower case", reserve("l", 1, RequestKey(Text)), ResultCode::Ok,
               Reserved, "l"}});
  for (char &Character : Text)
    Character = static_cast<char>(std::toupper(Character));
  run(State, {{"upper case", reserve("u", 1, RequestKey(Text)),
               ResultCode::NotRunKeyInUse, Reserved, "l"}});
}

BOOST_AUTO_TEST_CASE(RefusesKeysOutsideTimeWindow) {
  using namespace std::chrono_literals;
  struct Case final {
    const char *m_Name; ///< Name in messages.
    std::chrono::milliseconds
        m_Offset;      ///< Key's time relative to the log's time.
    ResultCode m_Code; ///< Expected code.
  };
  const Case Cases[] = {
      {"too old", -24h - 1ms, ResultCode::NotRunKeyExpired},
      {"just within the retention", -24h, ResultCode::Ok},
      {"just ahead", 5min, ResultCode::Ok},
      {"too far ahead", 5min + 1ms, ResultCode::NotRunKeyExpired},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      ControlState State = makeState();
      const RequestKey Requested = key(Start + Each.m_Offset);
      BOOST_TEST(
          (State.apply(reserve("a", 1, Requested)).m_Code == Each.m_Code));
    }
  }
  // Pruning removes exactly the keys that are refused from then on.
  ControlState State = makeState();
  for (const auto Age : {0ms, 1ms, 2ms})
    State.apply(reserve("a", 1, key(Start - Age)));
  BOOST_TEST(State.ledger().size() == 3U);
  State.apply(AdvanceTime{Start + 24h - 1ms});
  BOOST_TEST(State.ledger().size() == 2U);
  for (const auto Age : {0ms, 1ms, 2ms}) {
    const bool IsLive =
        State.ledger().find(TheOwner, key(Start - Age)) != nullptr;
    const ResultCode Code =
        State.apply(reserve("b", 1, key(Start - Age))).m_Code;
    BOOST_TEST((Code == (IsLive ? ResultCode::NotRunKeyInUse
                                : ResultCode::NotRunKeyExpired)));
  }
  // The log's time never goes back, so a pruned key stays refused.
  BOOST_TEST(
      (State.apply(AdvanceTime{Start}).m_Code == ResultCode::BadArgument));
}

BOOST_AUTO_TEST_CASE(BoundsAnswerSizeAndKeysPerOwner) {
  ControlState::Settings Bounds;
  Bounds.m_Ledger.m_MaxAnswerBytes = 4;
  Bounds.m_Ledger.m_MaxKeysPerOwner = 2;
  ControlState State(Bounds);
  State.importData(makeState().exportData());
  run(State, {{"first key", reserve("a"), ResultCode::Ok, Reserved, "a"},
              {"long answer", record("a", ResultCode::Ok, "12345"),
               ResultCode::Ok, Ran, "a"},
              {"second key", reserve("b", 1, key(Start, 2)), ResultCode::Ok,
               Reserved, "b"},
              {"third key", reserve("c", 1, key(Start, 3)),
               ResultCode::NotRunQueueFull},
              {"another owner", reserve("d", 1, key(Start, 3), 1, OwnerId("o")),
               ResultCode::Ok, Reserved, "d"}});
  const LedgerRecord *Record = State.ledger().find(TheOwner, Key);
  BOOST_TEST((Record->m_Code == ResultCode::RanAnswerTooLarge));
  BOOST_TEST(Record->m_Answer == "");
}

BOOST_AUTO_TEST_SUITE_END()
