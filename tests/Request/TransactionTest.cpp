#include "GroupFixture.h"

#include <functional>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TransactionStatus Open = TransactionStatus::InTransaction;

/// Callers with transactions in a group whose servers are all at position 10.
class TransactionFixture : public GroupFixture {
public:
  TransactionFixture() { sample(1, 10, {"s1", "s2", "s3"}); }

  /// Submits a statement of \p Caller.
  RequestId statement(std::uint64_t Caller, const char *Key = nullptr) {
    GroupRequest Request = makeRequest(TrafficClass::Booking);
    Request.m_Caller = CallerConnectionId(Caller);
    if (Key)
      Request.m_Key = RequestKey(Key);
    return submit(std::move(Request));
  }
  /// Opens a transaction of \p Caller and returns its connection.
  std::uint64_t begin(std::uint64_t Caller, const char *Key = nullptr) {
    const RequestId Id = statement(Caller, Key);
    const std::uint64_t Connection = running();
    answer(ok(1, 10, Open));
    BOOST_TEST((m_Answers.at(Id).m_Status == Open));
    return Connection;
  }
};

BOOST_FIXTURE_TEST_SUITE(TransactionSuite, TransactionFixture)

BOOST_AUTO_TEST_CASE(EachTransactionHasItsOwnConnection,
                     *boost::unit_test::label("promise-3")) {
  const std::uint64_t First = begin(901);
  const std::uint64_t Second = begin(902);
  BOOST_TEST(First != Second);
  for (int Times = 0; Times < 3; ++Times) {
    statement(901);
    BOOST_TEST(running() == First);
    answer(ok(1, 10, Open));
    write(); // of another caller
    BOOST_TEST(running() != First);
    BOOST_TEST(running() != Second);
    answer(ok(1, 10));
  }
  const RequestId Commit = statement(901);
  answer(ok(1, 11));
  BOOST_TEST(!isAnswered(Commit)); // not applied on the replicas yet
  sample(1, 11, {"s2", "s3"});
  BOOST_TEST((code(Commit) == ResultCode::Ok));
  BOOST_TEST(serverOf(First) == "s1"); // clean, so it stays open
}

struct EndCase final {
  const char *m_Name;
  std::function<void(TransactionFixture &, std::uint64_t)> m_End;
};

BOOST_AUTO_TEST_CASE(UncleanConnectionIsNeverReused,
                     *boost::unit_test::label("promise-3")) {
  const EndCase Cases[] = {
      {"caller disconnects between statements",
       [](TransactionFixture &Group, std::uint64_t) {
         Group.callerDisconnected(901);
       }},
      {"caller disconnects during a statement",
       [](TransactionFixture &Group, std::uint64_t) {
         Group.statement(901);
         Group.callerDisconnected(901);
       }},
      {"idle limit expired",
       [](TransactionFixture &Group, std::uint64_t) {
         Group.wait(seconds(30));
         BOOST_TEST(Group.m_ClosedCallers.size() == 1U);
       }},
      {"statement past its deadline",
       [](TransactionFixture &Group, std::uint64_t) {
         const RequestId Id = Group.statement(901);
         Group.wait(seconds(5));
         BOOST_TEST((Group.code(Id) == ResultCode::OutcomeUnknown));
         BOOST_TEST(Group.m_ClosedCallers.size() == 1U);
       }},
      {"connection lost",
       [](TransactionFixture &Group, std::uint64_t Connection) {
         Group.loseConnection(Connection);
         BOOST_TEST(Group.m_ClosedCallers.size() == 1U);
         BOOST_TEST(
             (Group.m_ClosedCallers[0].m_Code == ResultCode::NotRunRolledBack));
       }},
      {"term ended",
       [](TransactionFixture &Group, std::uint64_t) {
         Group.changePrimary(2, "s2");
         BOOST_REQUIRE(Group.m_ClosedCallers.size() == 1);
         BOOST_TEST(
             (Group.m_ClosedCallers[0].m_Code == ResultCode::NotRunRolledBack));
       }},
      {"term refused",
       [](TransactionFixture &Group, std::uint64_t) {
         const RequestId Id = Group.statement(901);
         Group.answer(GroupFixture::error("72000", Open));
         BOOST_TEST((Group.code(Id) == ResultCode::NotRunTermRefused));
         BOOST_TEST(Group.m_ClosedCallers.size() == 1U);
       }},
      {"answer without a statement",
       [](TransactionFixture &Group, std::uint64_t Connection) {
         Group.answerOn(Connection, Group.ok(1, 10, Open));
       }},
  };
  for (const EndCase &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      TransactionFixture Group;
      const std::uint64_t Connection = Group.begin(901);
      Case.m_End(Group, Connection);
      BOOST_TEST(Group.serverOf(Connection) == "");
      Group.lease(seconds(60));
      Group.write();
      BOOST_TEST(Group.running() != Connection);
      // Nothing of the transaction is left: the caller's next statement starts
      // outside a transaction.
      Group.m_ClosedCallers.clear();
      Group.statement(901);
      BOOST_TEST(Group.running() != Connection);
    }
  }
}

BOOST_AUTO_TEST_CASE(TransactionBegunForDisconnectedCallerIsRolledBack,
                     *boost::unit_test::label("promise-3")) {
  const RequestId Id = statement(901);
  const std::uint64_t Connection = running();
  callerDisconnected(901);
  answer(ok(1, 10, Open));
  BOOST_TEST(!isAnswered(Id));
  BOOST_TEST(serverOf(Connection) == "");
}

BOOST_AUTO_TEST_CASE(ChainedCommitWaitsForReplication,
                     *boost::unit_test::label("promise-2")) {
  begin(901);
  const RequestId Chain = statement(901);
  answer(ok(1, 11, Open)); // COMMIT AND CHAIN
  BOOST_TEST(!isAnswered(Chain));
  changePrimary(2, "s2");
  BOOST_TEST((code(Chain) == ResultCode::OutcomeUnknownTermEnded));
  BOOST_TEST(m_ClosedCallers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(BusyServerIsRetriedOnSameConnection,
                     *boost::unit_test::label("promise-3")) {
  const std::uint64_t Connection = begin(901);
  const RequestId Id = statement(901);
  answer(error("53300", Open));
  BOOST_TEST(!isAnswered(Id));
  wait(milliseconds(10));
  BOOST_TEST(running() == Connection);
  answer(ok(1, 10, Open));
  BOOST_TEST((code(Id) == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(KeyCoversWholeTransaction,
                     *boost::unit_test::label("promise-6")) {
  for (const bool Committed : {false, true}) {
    TransactionFixture Group;
    Group.begin(901, "key");
    const RequestId Commit = Group.statement(901);
    BOOST_TEST(!Group.m_Statements.back().m_Attempt); // tag set at its start
    Group.loseConnection(Group.running());
    BOOST_REQUIRE(Group.m_EndAttempts.size() == 1);
    BOOST_TEST(
        (Group.m_EndAttempts[0].m_Attempt == Group.m_Reserves[0].m_Attempt));
    Group.endAttempt(
        Committed ? AttemptOutcome::Committed : AttemptOutcome::Aborted, 1, 11);
    Group.sample(1, 11, {"s2", "s3"});
    // The proxy cannot rerun the first statements of the transaction.
    BOOST_TEST(
        (Group.code(Commit) == (Committed ? ResultCode::RanAnswerLost
                                          : ResultCode::NotRunRolledBack)));
    BOOST_TEST(Group.m_Sent == 2U);
    BOOST_TEST(Group.m_ClosedCallers.size() == 1U);
    BOOST_TEST(Group.m_Records.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(KeyIsResolvedWhenCallerLeavesTransaction,
                     *boost::unit_test::label("promise-6")) {
  begin(901, "key");
  callerDisconnected(901);
  BOOST_TEST(m_Records.empty());
  endAttempt(AttemptOutcome::Aborted, 1, 10);
  BOOST_REQUIRE(m_Records.size() == 1);
  BOOST_TEST((m_Records[0].m_Code == ResultCode::NotRunRolledBack));
}

BOOST_AUTO_TEST_CASE(CallerRunsOneStatementAtATime,
                     *boost::unit_test::label("promise-3")) {
  const RequestId First = statement(901);
  BOOST_TEST((code(statement(901)) == ResultCode::NotRunBadRequest));
  BOOST_TEST(m_Sent == 1U);
  answer(ok(1, 10, Open));
  BOOST_TEST((code(First) == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(TransactionContinuesOnLeavingServer,
                     *boost::unit_test::label("promise-7")) {
  const std::uint64_t Connection = begin(901);
  m_View.m_Servers[0].m_Leaving = true;
  setView(1);
  write(); // waits for the next primary
  BOOST_TEST(running() == 0U);
  const RequestId Commit = statement(901);
  BOOST_TEST(running() == Connection);
  answer(ok(1, 11));
  sample(1, 11, {"s2", "s3"});
  BOOST_TEST((code(Commit) == ResultCode::Ok));
  BOOST_TEST(serverOf(Connection) == "");
}

BOOST_AUTO_TEST_CASE(DrainRunsQueuedRequestsAndEndsIdleTransactions,
                     *boost::unit_test::label("promise-8")) {
  begin(901);
  std::vector<RequestId> Requests;
  Requests.reserve(5);
  for (int Index = 0; Index < 4; ++Index)
    Requests.push_back(write());
  Requests.push_back(keyedWrite());
  m_Core.drain(m_Now, m_Actions);
  for (int Times = 0; Times < 5; ++Times)
    answer(ok(1, 10));
  for (const RequestId Id : Requests)
    BOOST_TEST((code(Id) == ResultCode::Ok));
  BOOST_TEST(!m_Core.isDrained());
  wait(seconds(30)); // the idle limit of a transaction
  BOOST_TEST(m_ClosedCallers.size() == 1U);
  BOOST_TEST(m_Core.isDrained());
}

BOOST_AUTO_TEST_CASE(DrainInterruptsNothing,
                     *boost::unit_test::label("promise-8")) {
  begin(901);
  const RequestId Running = write();
  const std::uint64_t Connection = running();
  m_Core.drain(m_Now, m_Actions);
  BOOST_TEST(!m_Core.isDrained());
  BOOST_TEST((code(write()) == ResultCode::NotRunDraining));
  answerOn(Connection, ok(1, 10));
  BOOST_TEST((code(Running) == ResultCode::Ok));
  const RequestId Statement = statement(901);
  answer(ok(1, 10, Open));
  BOOST_TEST((code(Statement) == ResultCode::Ok));
  BOOST_TEST(!m_Core.isDrained());
  const RequestId Commit = statement(901);
  answer(ok(1, 11));
  BOOST_TEST(!m_Core.isDrained());
  sample(1, 11, {"s2", "s3"});
  BOOST_TEST((code(Commit) == ResultCode::Ok));
  BOOST_TEST(m_Core.isDrained());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

} // namespace ragwortmux
