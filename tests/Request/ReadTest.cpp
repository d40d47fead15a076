#include "GroupFixture.h"

#include <functional>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reads in a group whose servers have all reported position 10 of term 1.
class ReadFixture : public GroupFixture {
public:
  ReadFixture() { sample(1, 10, {"s1", "s2", "s3"}); }

  RequestId read(std::optional<LogPoint> Token, const char *Session = "") {
    GroupRequest Request = makeRequest(TrafficClass::SessionRead);
    Request.m_Token = Token;
    Request.m_Session = SessionName(Session);
    return submit(std::move(Request));
  }
  RequestId agedRead(Duration MaxAge,
                     std::optional<LogPoint> Token = std::nullopt) {
    m_Limits.m_MaxAge = MaxAge;
    GroupRequest Request = makeRequest(TrafficClass::AgedRead);
    Request.m_Token = Token;
    return submit(std::move(Request));
  }
};

BOOST_FIXTURE_TEST_SUITE(SessionReads, ReadFixture,
                         *boost::unit_test::label("promise-1"))

BOOST_AUTO_TEST_CASE(ReplicaCoveringTokenServesRead) {
  const RequestId Id = read(point(1, 10));
  BOOST_TEST(runsAt() == "s2");
  answer(ok(1, 10));
  BOOST_TEST((code(Id) == ResultCode::Ok));
  BOOST_TEST(!m_Answers.at(Id).m_NeedsLease);
  BOOST_TEST(m_Core.counts().m_ReplicaReads == 1U);
}

BOOST_AUTO_TEST_CASE(AnswerNotCoveringTokenIsDiscarded) {
  // s2 reported position 10 and was reset to an older state since.
  const RequestId Id = read(point(1, 10));
  answer(ok(1, 9));
  BOOST_TEST(!isAnswered(Id));
  BOOST_TEST(runsAt() == "s3");
  answer(ok(1, 10));
  BOOST_TEST((code(Id) == ResultCode::Ok));
  BOOST_TEST(m_Core.counts().m_NotCovered == 1U);
}

BOOST_AUTO_TEST_CASE(WaitsBrieflyForLaggingReplicasThenUsesPrimary) {
  const RequestId First = read(point(1, 12));
  BOOST_TEST(m_Sent == 0U);
  sample(1, 12, {"s3"});
  BOOST_TEST(runsAt() == "s3");
  answer(ok(1, 12));
  BOOST_TEST((code(First) == ResultCode::Ok));

  const RequestId Second = read(point(1, 20));
  wait(milliseconds(30));
  BOOST_TEST(runsAt() == "s1");
  answer(ok(1, 20));
  BOOST_TEST((code(Second) == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(TokenHoldsAfterChangeOfPrimary) {
  const RequestId Id = read(point(1, 12));
  changePrimary(2, "s2");
  // s3 does not follow the new primary yet: its old history may lack the write.
  sample(1, 11, {"s3"});
  wait(milliseconds(30));
  BOOST_TEST(runsAt() == "s2");
  answer(ok(2, 12));
  BOOST_TEST((code(Id) == ResultCode::Ok));
  // A longer history of the old term does not cover a token of the new term.
  sample(1, 99, {"s3"});
  read(point(2, 13));
  wait(milliseconds(30));
  BOOST_TEST(runsAt() == "s2");
}

BOOST_AUTO_TEST_CASE(AnswerOfIsolatedOldPrimaryIsRejectedWithoutLease) {
  // The proxy is cut off: its view and the answers of s1 are outdated, and the
  // lease has expired.
  const RequestId Unknown = read(std::nullopt);
  BOOST_TEST(runsAt() == "s1");
  lease(milliseconds(0));
  answer(ok(1, 10));
  BOOST_TEST(!isAnswered(Unknown));
  wait(seconds(5));
  BOOST_TEST((code(Unknown) != ResultCode::Ok));
  // A read whose token the server's position covers is still served.
  const RequestId Covered = read(point(1, 10));
  answer(ok(1, 10));
  BOOST_TEST((code(Covered) == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(TokenOfLaterTermIsNotServedByOldPrimary) {
  const RequestId Id = read(point(2, 12));
  wait(seconds(6));
  BOOST_TEST((code(Id) == ResultCode::NotRunNotCovered));
  BOOST_TEST(m_Sent == 0U);
}

BOOST_AUTO_TEST_CASE(SessionWithoutTokenIsLookedUp) {
  m_Homes[SessionName("clerk")] = point(1, 10);
  read(std::nullopt, "clerk");
  BOOST_TEST(runsAt() == "s2");
  // The session is unknown at its homes, or the homes were lost: only the
  // primary is certain to have its writes.
  const RequestId Lost = read(std::nullopt, "stranger");
  BOOST_TEST(runsAt() == "s1");
  BOOST_TEST(m_PointStores.empty());
  answer(ok(1, 11));
  BOOST_TEST((code(Lost) == ResultCode::Ok));
  BOOST_REQUIRE(m_PointStores.size() == 1);
  BOOST_TEST((m_PointStores[0].m_LookedUpBy == Lost));
  sample(1, 11, {"s2", "s3"});
  read(std::nullopt, "stranger");
  BOOST_TEST(runsAt() != "s1");
}

BOOST_AUTO_TEST_CASE(LookupWithoutLeaseIsNotTrusted) {
  m_AutoHomes = false;
  const RequestId Id = read(std::nullopt, "clerk");
  lease(milliseconds(0));
  m_Core.sessionPointFound(m_Now, Id, point(1, 10), true, m_Actions);
  wait(seconds(6));
  BOOST_TEST((code(Id) == ResultCode::NotRunNoLease));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AgedReads, ReadFixture)

BOOST_AUTO_TEST_CASE(ReplicaServesWithinItsProvenAge) {
  // s2 and s3 remain at position 10, which the primary reported at the start.
  wait(milliseconds(500));
  sample(1, 11, {"s1"});
  const RequestId Young = agedRead(milliseconds(600));
  BOOST_TEST(runsAt() == "s2");
  answer(ok(1, 10));
  BOOST_TEST((code(Young) == ResultCode::Ok));
  agedRead(milliseconds(400));
  BOOST_TEST(runsAt() == "s1");
}

BOOST_AUTO_TEST_CASE(AgeIsCheckedAgainOnAnswer) {
  sample(1, 11, {"s1", "s2", "s3"});
  wait(milliseconds(500));
  sample(1, 12, {"s1", "s2", "s3"});
  const RequestId Id = agedRead(milliseconds(400));
  BOOST_TEST(runsAt() == "s2");
  answer(ok(1, 11)); // 500 ms old
  BOOST_TEST(!isAnswered(Id));
  BOOST_TEST(runsAt() == "s3");
}

BOOST_AUTO_TEST_CASE(ReplacedPrimaryCannotMakeOldDataRecent) {
  wait(seconds(1));
  lease(milliseconds(0));
  sample(1, 10, {"s1"}); // s1 may have been replaced by now
  const RequestId Id = agedRead(milliseconds(500));
  wait(seconds(6));
  BOOST_TEST((code(Id) == ResultCode::NotRunTooOld));
}

BOOST_AUTO_TEST_CASE(IsolatedDomainServesWithinMaxAge,
                     *boost::unit_test::label("promise-1")) {
  lease(milliseconds(0));
  wait(seconds(2));
  const RequestId Id = agedRead(seconds(3));
  BOOST_TEST(runsAt() == "s2");
  answer(ok(1, 10));
  BOOST_TEST((code(Id) == ResultCode::Ok));
  wait(seconds(2));
  const RequestId TooOld = agedRead(seconds(3));
  wait(seconds(6));
  BOOST_TEST((code(TooOld) == ResultCode::NotRunTooOld));
}

BOOST_AUTO_TEST_CASE(AgedReadAlsoCoversToken) {
  sample(1, 11, {"s1", "s3"});
  agedRead(seconds(10), point(1, 11));
  BOOST_TEST(runsAt() == "s3");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ReadRetries, ReadFixture)

BOOST_AUTO_TEST_CASE(LostReadIsRetriedOnAnotherServerWithinBudget) {
  const RequestId Id = read(point(1, 10));
  loseConnection(running());
  BOOST_TEST(runsAt() == "s3");
  answer(ok(1, 10));
  BOOST_TEST((code(Id) == ResultCode::Ok));
  // 20 retries were saved and one was used; each request earns a tenth of a
  // retry.
  int Retried = 0;
  for (int Index = 0; Index < 40; ++Index) {
    const RequestId Each = read(point(1, 10));
    while (!isAnswered(Each)) {
      loseConnection(running());
      Retried += isAnswered(Each) ? 0 : 1;
    }
    BOOST_TEST((code(Each) == ResultCode::OutcomeUnknown));
  }
  BOOST_TEST((Retried >= 19 && Retried <= 24));
}

BOOST_AUTO_TEST_CASE(LeavingServerGetsNoNewRequests,
                     *boost::unit_test::label("promise-7")) {
  for (const bool Leaves : {true, false}) {
    BOOST_TEST_CONTEXT(Leaves) {
      ReadFixture Group;
      const RequestId Running = Group.read(point(1, 10));
      BOOST_TEST(Group.runsAt() == "s2");
      const std::uint64_t Connection = Group.running();
      Group.m_View.m_Servers[1].m_Leaving = Leaves;
      Group.m_View.m_Servers[1].m_Announced = Leaves;
      Group.setView(1);
      for (int Times = 0; Times < 10; ++Times) {
        Group.read(point(1, 10));
        BOOST_TEST(Group.runsAt() != "s2");
      }
      Group.answerOn(Connection, Group.ok(1, 10));
      BOOST_TEST((Group.code(Running) == ResultCode::Ok));
      Group.wait(seconds(1));
      BOOST_TEST(Group.m_Core.connectionCount(ServerId("s2")) == 1U); // monitor
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

} // namespace ragwortmux
