#include "ragwortmux/Request/RelayedCallers.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace ragwortmux {

namespace {

const RelayPeerId First(1);
const RelayPeerId Second(2);
const CallerConnectionId Caller(7);

struct Fixture {
  /// Accepts a statement with id \p Id.
  SessionRequest accept(RelayPeerId Peer, std::uint64_t Id,
                        CallerConnectionId From = Caller) {
    SessionRequest Request;
    Request.m_Id = RequestId(Id);
    Request.m_Caller = From;
    return m_Callers.accept(Peer, Request, [this](SessionAnswer Answer) {
      m_Answers.push_back(std::move(Answer));
    });
  }

  bool answer(const SessionRequest &Request, TransactionStatus Status) {
    SessionAnswer Answer;
    Answer.m_Request = Request.m_Id;
    Answer.m_Caller = Request.m_Caller;
    Answer.m_Status = Status;
    return m_Callers.answer(Answer);
  }

  RelayedCallers m_Callers;
  std::vector<SessionAnswer> m_Answers; ///< Answers to the other hosts.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayedCallersTest, Fixture)

BOOST_AUTO_TEST_CASE(AnswersCarryIdsOfTheirOrigin) {
  const SessionRequest One = accept(First, 11);
  const SessionRequest Two = accept(Second, 11);
  BOOST_TEST((One.m_Caller != Two.m_Caller));
  BOOST_TEST((One.m_Id != Two.m_Id));
  BOOST_TEST(answer(Two, TransactionStatus::Idle));
  BOOST_REQUIRE(m_Answers.size() == 1U);
  BOOST_TEST((m_Answers[0].m_Request == RequestId(11)));
  BOOST_TEST((m_Answers[0].m_Caller == Caller));
  // A second answer to the same statement is dropped.
  BOOST_TEST(answer(Two, TransactionStatus::Idle));
  BOOST_TEST(m_Answers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnswersOfOwnCallersAreNotTaken) {
  accept(First, 1);
  SessionRequest Own;
  Own.m_Id = RequestId(1);
  Own.m_Caller = Caller;
  BOOST_TEST(!answer(Own, TransactionStatus::Idle));
  BOOST_TEST(m_Answers.empty());
}

BOOST_AUTO_TEST_CASE(CallerKeepsItsIdUntilItsTransactionEnds) {
  const SessionRequest Begin = accept(First, 1);
  answer(Begin, TransactionStatus::InTransaction);
  const SessionRequest Write = accept(First, 2);
  BOOST_TEST((Write.m_Caller == Begin.m_Caller));
  answer(Write, TransactionStatus::Failed);
  BOOST_TEST(m_Callers.size() == 1U);
  answer(accept(First, 3), TransactionStatus::Idle);
  BOOST_TEST(m_Callers.size() == 0U);
}

BOOST_AUTO_TEST_CASE(DisconnectedCallerIsForgotten) {
  const SessionRequest Begin = accept(First, 1);
  answer(Begin, TransactionStatus::InTransaction);
  const SessionRequest Commit = accept(First, 2);
  BOOST_TEST(!m_Callers.callerDisconnected(Second, Caller));
  BOOST_TEST((m_Callers.callerDisconnected(First, Caller) == Begin.m_Caller));
  // The statement under way is answered all the same.
  BOOST_REQUIRE(m_Answers.size() == 2U);
  BOOST_TEST((m_Answers[1].m_Request == RequestId(2)));
  BOOST_TEST((m_Answers[1].m_Code == ResultCode::OutcomeUnknown));
  answer(Commit, TransactionStatus::Idle);
  BOOST_TEST(m_Answers.size() == 2U);
  BOOST_TEST(!m_Callers.callerDisconnected(First, Caller));
  // A later statement is not taken for one of the old transaction.
  BOOST_TEST((accept(First, 3).m_Caller != Begin.m_Caller));
}

BOOST_AUTO_TEST_CASE(ClosedPeerForgetsOnlyItsCallers) {
  const SessionRequest One = accept(First, 1);
  const SessionRequest Two = accept(First, 2, CallerConnectionId(8));
  accept(Second, 1);
  const auto Closed = m_Callers.peerClosed(First);
  BOOST_TEST(Closed.size() == 2U);
  BOOST_TEST((Closed[0] == One.m_Caller));
  BOOST_TEST((Closed[1] == Two.m_Caller));
  BOOST_TEST(m_Callers.size() == 1U);
  BOOST_TEST(m_Answers.size() == 2U);
  BOOST_TEST(m_Callers.peerClosed(First).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
