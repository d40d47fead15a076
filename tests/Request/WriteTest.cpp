#include "GroupFixture.h"

#include <functional>
#include <set>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct GateCase final {
  const char *m_Name;
  SyncState m_S2;
  SyncState m_S3;
  std::vector<const char *>
      m_Applied; ///< Servers that have applied the commit.
  bool m_Acknowledged;
};

BOOST_AUTO_TEST_CASE(WriteIsAcknowledgedOnceReplicated,
                     *boost::unit_test::label("promise-2")) {
  const GateCase Cases[] = {
      {"no replica", SyncState::InSync, SyncState::InSync, {}, false},
      {"one of two replicas",
       SyncState::InSync,
       SyncState::InSync,
       {"s2"},
       false},
      {"both replicas",
       SyncState::InSync,
       SyncState::InSync,
       {"s2", "s3"},
       true},
      {"waits for a joining server",
       SyncState::InSync,
       SyncState::Joining,
       {"s2"},
       false},
      {"does not wait for a server that is behind",
       SyncState::InSync,
       SyncState::Behind,
       {"s2"},
       true},
      {"no replica in sync", SyncState::Behind, SyncState::Behind, {}, false},
      {"only a replica that is behind",
       SyncState::Behind,
       SyncState::Behind,
       {"s3"},
       false},
      {"only a replica that is joining",
       SyncState::Joining,
       SyncState::Behind,
       {"s2"},
       false},
  };
  for (const GateCase &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      GroupFixture Group;
      Group.m_View.m_Servers[1].m_Sync = Case.m_S2;
      Group.m_View.m_Servers[2].m_Sync = Case.m_S3;
      Group.setView(1);
      Group.sample(1, 9, {"s2", "s3"});
      const RequestId Id = Group.write();
      BOOST_TEST(Group.runsAt() == "s1");
      Group.answer(Group.ok(1, 10));
      Group.sample(1, 10, Case.m_Applied);
      BOOST_TEST(Group.isAnswered(Id) == Case.m_Acknowledged);
      if (!Case.m_Acknowledged)
        continue;
      BOOST_TEST((Group.code(Id) == ResultCode::Ok));
      BOOST_TEST((Group.m_Answers.at(Id).m_Token == Group.point(1, 10)));
      BOOST_TEST((Group.m_Answers.at(Id).m_NeedsLease == Term(1)));
    }
  }
}

BOOST_AUTO_TEST_CASE(SingleServerAcknowledgesOnlyIfAllowed,
                     *boost::unit_test::label("promise-2")) {
  for (const bool Allowed : {false, true}) {
    GroupSettings Settings;
    Settings.m_AllowSingleServer = Allowed;
    GroupFixture Group(Settings);
    Group.m_View.m_Servers.resize(1);
    Group.setView(1);
    const RequestId Id = Group.write();
    Group.answer(Group.ok(1, 10));
    BOOST_TEST(Group.isAnswered(Id) == Allowed);
  }
}

BOOST_FIXTURE_TEST_CASE(WritesOfEndedTermAreNotAcknowledged, GroupFixture,
                        *boost::unit_test::label("promise-2")) {
  const RequestId Unacknowledged = write();
  answer(ok(1, 10));
  const RequestId Late = write();
  changePrimary(2, "s2");
  BOOST_TEST((code(Unacknowledged) == ResultCode::OutcomeUnknownTermEnded));
  answer(ok(1, 11));
  sample(1, 11, {"s2", "s3"});
  sample(2, 11, {"s1", "s3"});
  BOOST_TEST((code(Late) == ResultCode::OutcomeUnknownTermEnded));
}

BOOST_FIXTURE_TEST_CASE(TermEndWhileStoringSessionPointIsReported, GroupFixture,
                        *boost::unit_test::label("promise-2")) {
  m_AutoHomes = false;
  GroupRequest Request = makeRequest(TrafficClass::Booking);
  Request.m_Session = SessionName("clerk");
  const RequestId Id = submit(Request);
  answer(ok(1, 10));
  sample(1, 10, {"s2", "s3"});
  BOOST_REQUIRE(m_PointStores.size() == 1);
  BOOST_TEST(!isAnswered(Id));
  changePrimary(2, nullptr);
  BOOST_TEST((code(Id) == ResultCode::OutcomeUnknownTermEnded));
}

BOOST_FIXTURE_TEST_CASE(AnswerAfterLeaseWaitsForNextLease, GroupFixture,
                        *boost::unit_test::label("promise-2")) {
  lease(milliseconds(100));
  sample(1, 10, {"s2", "s3"});
  const RequestId Id = write();
  wait(milliseconds(100)); // the lease does not cover its own end
  answer(ok(1, 10));
  BOOST_TEST(!isAnswered(Id));
  lease(seconds(1));
  BOOST_TEST((code(Id) == ResultCode::Ok));

  const RequestId Never = write();
  wait(seconds(2));
  answer(ok(1, 10));
  wait(seconds(5));
  BOOST_TEST((code(Never) == ResultCode::OutcomeUnknown));
}

BOOST_FIXTURE_TEST_CASE(NothingIsSentAtEndOfLease, GroupFixture,
                        *boost::unit_test::label("promise-2")) {
  lease(milliseconds(50));
  const RequestId Id = write();
  BOOST_TEST(m_Sent == 0U);
  wait(seconds(5));
  BOOST_TEST((code(Id) == ResultCode::NotRunNoLease));
}

struct FailureCase final {
  const char *m_Name;
  std::function<void(GroupFixture &)>
      m_Fail;              ///< Injects the failure after the request was sent.
  ResultCode m_WithoutKey; ///< Result without a key.
  ResultCode m_KeyedAborted;   ///< Result with a key if the attempt aborted.
  ResultCode m_KeyedCommitted; ///< Result with a key if the attempt committed.
};

/// Settings with an empty retry budget, so that a statement that was not run is
/// reported instead of retried.
GroupSettings withoutRetries() {
  GroupSettings Settings;
  Settings.m_Retry.m_MaxSaved = 0;
  return Settings;
}

BOOST_AUTO_TEST_CASE(CallerGetsCorrectResultAtEachPointOfFailure,
                     *boost::unit_test::label("promise-5")) {
  const auto Wait = [](GroupFixture &Group) { Group.wait(seconds(5)); };
  const FailureCase Cases[] = {
      {"connection lost after send",
       [](GroupFixture &Group) { Group.loseConnection(Group.running()); },
       ResultCode::OutcomeUnknown, ResultCode::NotRunRolledBack,
       ResultCode::RanAnswerLost},
      {"no answer until the deadline", Wait, ResultCode::OutcomeUnknown,
       ResultCode::OutcomeUnknown, ResultCode::OutcomeUnknown},
      {"term ended before the answer, connection lost",
       [](GroupFixture &Group) {
         Group.changePrimary(2, "s2");
         if (Group.running() != 0)
           Group.loseConnection(Group.running());
       },
       ResultCode::OutcomeUnknownTermEnded, ResultCode::NotRunRolledBack,
       ResultCode::RanAnswerLost},
      {"term ended after the answer, before replication",
       [](GroupFixture &Group) {
         Group.answer(Group.ok(1, 10));
         Group.changePrimary(2, "s2");
       },
       ResultCode::OutcomeUnknownTermEnded, ResultCode::NotRunRolledBack,
       ResultCode::Ok},
      {"answer without a position",
       [](GroupFixture &Group) { Group.answer(BackendAnswer()); },
       ResultCode::OutcomeUnknown, ResultCode::NotRunRolledBack,
       ResultCode::Ok},
  };
  for (const FailureCase &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      GroupFixture Plain(withoutRetries());
      const RequestId Id = Plain.write();
      Case.m_Fail(Plain);
      BOOST_TEST((Plain.code(Id) == Case.m_WithoutKey));
      BOOST_TEST(Plain.m_Sent == 1U);

      for (const bool Committed : {false, true}) {
        GroupFixture Keyed(withoutRetries());
        const RequestId KeyedId = Keyed.keyedWrite();
        Case.m_Fail(Keyed);
        const std::uint64_t Now = Keyed.m_View.m_Term.value();
        Keyed.endAttempt(Committed ? AttemptOutcome::Committed
                                   : AttemptOutcome::Aborted,
                         Now, 20);
        if (Committed && Case.m_KeyedCommitted != ResultCode::OutcomeUnknown)
          BOOST_TEST(!Keyed.isAnswered(KeyedId));
        Keyed.sample(Now, 20, {"s1", "s2", "s3"});
        BOOST_TEST((Keyed.code(KeyedId) ==
                    (Committed ? Case.m_KeyedCommitted : Case.m_KeyedAborted)));
        BOOST_TEST(Keyed.m_Sent == 1U);
        // A resend finds the key resolved in both cases.
        BOOST_REQUIRE(Keyed.m_Records.size() == 1);
        BOOST_TEST(isNotRun(Keyed.m_Records[0].m_Code) == !Committed);
      }
    }
  }
}

struct UnsentCase final {
  const char *m_Name;
  std::function<void(GroupFixture &)> m_Before;
  std::function<void(GroupFixture &)> m_After;
  ResultCode m_Code;
};

BOOST_AUTO_TEST_CASE(UnsentWritesAreReportedAsNotRun,
                     *boost::unit_test::label("promise-5")) {
  const auto Nothing = [](GroupFixture &) {};
  const UnsentCase Cases[] = {
      {"no primary",
       [](GroupFixture &Group) { Group.changePrimary(2, nullptr); }, Nothing,
       ResultCode::NotRunNoPrimary},
      {"lease expired",
       [](GroupFixture &Group) {
         Group.lease(milliseconds(1));
         Group.wait(milliseconds(1));
       },
       Nothing, ResultCode::NotRunNoLease},
      {"term refused", Nothing,
       [](GroupFixture &Group) { Group.answer(GroupFixture::error("72000")); },
       ResultCode::NotRunTermRefused},
      {"no slot until the deadline", Nothing,
       [](GroupFixture &Group) {
         for (int Times = 0; Times < 200 && Group.running() != 0; ++Times) {
           Group.answer(GroupFixture::error("53300"));
           Group.wait(milliseconds(60));
         }
       },
       ResultCode::NotRunDeadline},
      {"primary is leaving",
       [](GroupFixture &Group) {
         Group.m_View.m_Servers[0].m_Leaving = true;
         Group.setView(1);
       },
       Nothing, ResultCode::NotRunNoPrimary},
  };
  for (const UnsentCase &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      for (const bool Keyed : {false, true}) {
        GroupFixture Group;
        Case.m_Before(Group);
        const RequestId Id = Keyed ? Group.keyedWrite() : Group.write();
        Case.m_After(Group);
        if (Case.m_Code == ResultCode::NotRunTermRefused) {
          BOOST_TEST(!Group.isAnswered(Id)); // a new term may begin
          Group.changePrimary(2, "s2");
          Group.wait(milliseconds(100));
          BOOST_TEST(Group.runsAt() == "s2");
          continue;
        }
        Group.wait(seconds(6));
        BOOST_TEST((Group.code(Id) == Case.m_Code));
        if (Keyed)
          BOOST_TEST((Group.m_Records.back().m_Code == Case.m_Code));
      }
    }
  }
}

BOOST_FIXTURE_TEST_CASE(NewPrimaryIsRetriedAsSoonAsPromoted, GroupFixture) {
  changePrimary(2, "s2");
  const RequestId Id = write();
  const std::uint64_t Connection = running();
  for (int Times = 0; Times < 10; ++Times) {
    answer(error("72000")); // not promoted yet
    wait(milliseconds(60));
  }
  answer(error("72000"));
  BOOST_TEST(running() == 0U);
  BOOST_TEST(m_Suspicions.size() == 1U);
  sample(2, 10, {"s2", "s3"});
  BOOST_TEST(runsAt() == "s2");
  BOOST_TEST(serverOf(Connection) == "s2"); // no connection was closed
  sample(2, 11, {"s1", "s3"});
  answer(ok(2, 11));
  BOOST_TEST((code(Id) == ResultCode::Ok));
}

BOOST_FIXTURE_TEST_CASE(DatabaseErrorIsForwarded, GroupFixture,
                        *boost::unit_test::label("promise-5")) {
  const RequestId Id = write();
  answer(error("23505"));
  BOOST_TEST((code(Id) == ResultCode::Ok));
  BOOST_TEST(body(Id) == "23505");
}

BOOST_FIXTURE_TEST_CASE(WriteIsNotAcknowledgedBeforeSessionPointIsStored,
                        GroupFixture, *boost::unit_test::label("promise-1")) {
  m_AutoHomes = false;
  GroupRequest Request = makeRequest(TrafficClass::Write);
  Request.m_Session = SessionName("clerk");
  const RequestId Id = submit(Request);
  answer(ok(1, 10));
  sample(1, 10, {"s2", "s3"});
  m_Core.sessionPointStored(m_Now, Id, false, m_Actions);
  BOOST_TEST(!isAnswered(Id));
  m_AutoHomes = true;
  wait(milliseconds(100)); // retried
  BOOST_TEST((code(Id) == ResultCode::Ok));
  BOOST_TEST((m_Homes.at(SessionName("clerk")) == point(1, 10)));
}

BOOST_FIXTURE_TEST_CASE(WriteOfDisconnectedCallerLeavesNothingBehind,
                        GroupFixture, *boost::unit_test::label("promise-3")) {
  const RequestId Id = write();
  const std::uint64_t Connection = running();
  callerDisconnected(Id.value());
  answer(ok(1, 10)); // never applied on another server
  BOOST_TEST(serverOf(Connection) == "s1");
  BOOST_TEST(m_Core.pendingRequests() == 0U);
  BOOST_TEST(m_Core.connectionDemand(ServerId("s1")) == 3U);
}

BOOST_AUTO_TEST_SUITE(Keys)

BOOST_FIXTURE_TEST_CASE(NothingIsSentBeforeReservation, GroupFixture,
                        *boost::unit_test::label("promise-6")) {
  m_AutoLedger = false;
  const RequestId Id = keyedWrite();
  BOOST_TEST(m_Sent == 0U);
  reserve(Id, reserveResult(ReserveStatus::Unavailable));
  wait(milliseconds(50));
  BOOST_REQUIRE(m_Reserves.size() == 2);
  // The first reservation may have been stored, so the retry must use the same
  // attempt.
  BOOST_TEST((m_Reserves[0].m_Attempt == m_Reserves[1].m_Attempt));
  reserve(Id, reserveResult(ReserveStatus::Reserved));
  BOOST_REQUIRE(m_Statements.size() == 1);
  BOOST_TEST((m_Statements[0].m_Attempt == m_Reserves[0].m_Attempt));
}

BOOST_FIXTURE_TEST_CASE(ResendWithoutLedgerIsNotReportedAsNotRun, GroupFixture,
                        *boost::unit_test::label("promise-5")) {
  m_AutoLedger = false;
  const RequestId Id = keyedWrite();
  reserve(Id, reserveResult(ReserveStatus::Unavailable));
  wait(seconds(5));
  BOOST_TEST((code(Id) == ResultCode::OutcomeUnknown));
  // A reservation that succeeds later is released.
  reserve(Id, reserveResult(ReserveStatus::Reserved));
  BOOST_REQUIRE(m_Records.size() == 1);
  BOOST_TEST(isNotRun(m_Records[0].m_Code));
  wait(milliseconds(250));
  BOOST_TEST(m_Records.size() == 2U); // retried until it is recorded
  m_Core.outcomeRecorded(m_Now, Id, true, m_Actions);
  wait(seconds(60));
  BOOST_TEST(m_Records.size() == 2U);
  BOOST_TEST(m_Sent == 0U);
}

BOOST_FIXTURE_TEST_CASE(TagDoesNotApplyToNextCaller, GroupFixture,
                        *boost::unit_test::label("promise-6")) {
  m_View.m_Servers[0].m_ConnectionShare = 2; // one besides the monitor
  setView(1);
  keyedWrite();
  answer(error("53300"));
  write();
  BOOST_REQUIRE(m_Statements.size() == 1);
  BOOST_TEST((m_Statements[0].m_Attempt == AttemptId()));
  answer(error("22012"));
  wait(milliseconds(10));
  BOOST_TEST((m_Statements[0].m_Attempt == m_Reserves[0].m_Attempt));
}

BOOST_FIXTURE_TEST_CASE(RecordedOutcomeIsReturnedAgain, GroupFixture,
                        *boost::unit_test::label("promise-6")) {
  m_AutoLedger = false;
  const RequestId Id = keyedWrite();
  ReserveResult Result = reserveResult(ReserveStatus::Recorded);
  Result.m_Body = std::make_shared<const std::string>("first");
  Result.m_Point = point(1, 10);
  reserve(Id, Result);
  BOOST_TEST((code(Id) == ResultCode::Ok));
  BOOST_TEST(body(Id) == "first");
  BOOST_TEST((m_Answers.at(Id).m_Token == point(1, 10)));
  BOOST_TEST(m_Sent == 0U);
}

BOOST_FIXTURE_TEST_CASE(ResendWaitsForOutcomeOfRunningAttempt, GroupFixture,
                        *boost::unit_test::label("promise-6")) {
  m_AutoLedger = false;
  const RequestId Id = keyedWrite();
  reserve(Id, reserveResult(ReserveStatus::InUse));
  wait(milliseconds(60));
  BOOST_TEST(m_Reserves.size() == 2U);
  reserve(Id, reserveResult(ReserveStatus::InUse));
  wait(seconds(5));
  // The first send may still commit, so the answer must not be "not run".
  BOOST_TEST((code(Id) == ResultCode::OutcomeUnknown));
  BOOST_TEST(m_Sent == 0U);
}

// The ledger gives the recorded answer of a key to whoever sends it again, so a
// key of one workspace must not be that of another one.
BOOST_AUTO_TEST_CASE(RequestKeysBelongToWorkspaces,
                     *boost::unit_test::label("promise-6")) {
  std::set<OwnerId> Owners;
  for (const char *Workspace : {"", "alpha", "beta"}) {
    GroupFixture Group;
    GroupRequest Request = Group.makeRequest(TrafficClass::Booking);
    Request.m_Key = RequestKey("key");
    Request.m_Workspace = WorkspaceId(Workspace);
    Group.submit(std::move(Request));
    BOOST_REQUIRE(Group.m_Reserves.size() == 1U);
    const std::uint64_t Now = Group.m_View.m_Term.value();
    Group.answer(Group.ok(Now, 20));
    Group.sample(Now, 20, {"s1", "s2", "s3"});
    BOOST_REQUIRE(!Group.m_Records.empty());
    BOOST_TEST(
        (Group.m_Records.back().m_Owner == Group.m_Reserves.back().m_Owner));
    Owners.insert(Group.m_Reserves.back().m_Owner);
  }
  BOOST_TEST(Owners.size() == 3U);
  BOOST_TEST(Owners.contains(OwnerId("o")));
}

BOOST_AUTO_TEST_CASE(AttemptOfEndedSessionIsResolvedFirst,
                     *boost::unit_test::label("promise-6")) {
  for (const bool Committed : {false, true}) {
    GroupFixture Group;
    Group.m_AutoLedger = false;
    const RequestId Id = Group.keyedWrite();
    ReserveResult Held =
        GroupFixture::reserveResult(ReserveStatus::HeldByEndedSession);
    Held.m_Attempt = AttemptId("other");
    Group.reserve(Id, Held);
    BOOST_REQUIRE(Group.m_EndAttempts.size() == 1);
    BOOST_TEST((Group.m_EndAttempts[0].m_Server == ServerId("s1")));
    BOOST_TEST((Group.m_EndAttempts[0].m_Attempt == AttemptId("other")));
    Group.m_AutoLedger = true;
    Group.endAttempt(
        Committed ? AttemptOutcome::Committed : AttemptOutcome::Aborted, 1, 10);
    BOOST_TEST(Group.m_Sent == (Committed ? 0U : 1U));
    if (!Committed) {
      BOOST_TEST((Group.m_Reserves.back().m_Aborted == AttemptId("other")));
      continue;
    }
    BOOST_TEST(!Group.isAnswered(Id)); // not applied on the other servers yet
    Group.sample(1, 10, {"s2", "s3"});
    BOOST_TEST((Group.code(Id) == ResultCode::RanAnswerLost));
    BOOST_TEST(Group.m_Records.back().m_OfEndedSession);
  }
}

BOOST_FIXTURE_TEST_CASE(AbortedAttemptIsRetriedUnderNewId, GroupFixture,
                        *boost::unit_test::label("promise-6")) {
  const RequestId Id = keyedWrite();
  loseConnection(running());
  BOOST_TEST(m_Sent == 1U); // no retry before the first attempt is aborted
  endAttempt(AttemptOutcome::Aborted, 1, 9);
  BOOST_TEST(m_Sent == 2U);
  BOOST_REQUIRE(m_Reserves.size() == 2);
  BOOST_TEST((m_Reserves[0].m_Attempt != m_Reserves[1].m_Attempt));
  answer(ok(1, 10));
  sample(1, 10, {"s2", "s3"});
  BOOST_TEST((code(Id) == ResultCode::Ok));
}

BOOST_FIXTURE_TEST_CASE(OnlyPrimaryUnderLeaseResolvesAttempt, GroupFixture,
                        *boost::unit_test::label("promise-6")) {
  const RequestId Id = keyedWrite();
  loseConnection(running());
  BOOST_REQUIRE(m_EndAttempts.size() == 1);
  changePrimary(2, "s2");
  // The late report of the replaced primary is ignored.
  endAttempt(AttemptOutcome::Aborted, 1, 9);
  BOOST_TEST(m_Sent == 1U);
  BOOST_REQUIRE(m_EndAttempts.size() == 1);
  BOOST_TEST((m_EndAttempts[0].m_Server == ServerId("s2")));
  lease(milliseconds(1));
  wait(milliseconds(2));
  endAttempt(AttemptOutcome::Aborted, 2, 9);
  BOOST_TEST(m_Sent == 1U);
  BOOST_TEST(!isAnswered(Id));
}

BOOST_FIXTURE_TEST_CASE(SilentAttemptIsEndedBeforeDeadline, GroupFixture,
                        *boost::unit_test::label("promise-6")) {
  const RequestId Id = keyedWrite();
  wait(seconds(4));
  endAttempt(AttemptOutcome::Committed, 1, 10);
  sample(1, 10, {"s2", "s3"});
  BOOST_TEST((code(Id) == ResultCode::RanAnswerLost));
}

BOOST_FIXTURE_TEST_CASE(SlowLedgerDelaysAnswerOnlyBriefly, GroupFixture,
                        *boost::unit_test::label("promise-6")) {
  const RequestId Id = keyedWrite();
  m_AutoLedger = false;
  answer(ok(1, 10));
  sample(1, 10, {"s2", "s3"});
  BOOST_REQUIRE(m_Records.size() == 1);
  BOOST_TEST((m_Records[0].m_Point == point(1, 10)));
  BOOST_TEST(!isAnswered(Id));
  wait(milliseconds(250));
  BOOST_TEST((code(Id) == ResultCode::Ok));
}

BOOST_FIXTURE_TEST_CASE(UnrecordedOutcomeIsSentAgain, GroupFixture,
                        *boost::unit_test::label("promise-6")) {
  const RequestId Id = keyedWrite();
  m_AutoLedger = false;
  sample(1, 10, {"s2", "s3"});
  answer(ok(1, 10));
  m_Core.outcomeRecorded(m_Now, Id, false, m_Actions);
  wait(milliseconds(0));
  callerDisconnected(Id.value());
  BOOST_TEST((code(Id) == ResultCode::Ok));
  changePrimary(2, "s2"); // already replicated, so this has no effect
  m_AutoLedger = true;
  wait(seconds(1));
  BOOST_TEST(m_Records.size() == 2U);
  BOOST_TEST(m_EndAttempts.empty());
  BOOST_TEST((m_Records[1].m_Code == ResultCode::Ok));
  wait(seconds(60));
  BOOST_TEST(m_Records.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ResendEndsOrphanedAttemptOfThisProxy, GroupFixture,
                        *boost::unit_test::label("promise-6")) {
  m_AutoLedger = false;
  const RequestId First = keyedWrite();
  const AttemptId Attempt = m_Reserves[0].m_Attempt;
  const RequestId Resend = keyedWrite();
  ReserveResult InUse = reserveResult(ReserveStatus::InUse);
  InUse.m_Attempt = Attempt;
  reserve(First, reserveResult(ReserveStatus::Reserved));
  reserve(Resend, InUse);
  BOOST_TEST(m_EndAttempts.empty()); // the first attempt is still running
  callerDisconnected(First.value());
  answer(error("23505"));
  wait(seconds(60)); // the ledger never confirms its record
  lease(seconds(60));
  const RequestId Late = keyedWrite();
  reserve(Late, InUse);
  BOOST_REQUIRE(m_EndAttempts.size() == 1);
  BOOST_TEST((m_EndAttempts[0].m_Attempt == Attempt));
}

BOOST_FIXTURE_TEST_CASE(AttemptOfDisconnectedCallerIsRecorded, GroupFixture,
                        *boost::unit_test::label("promise-6")) {
  const RequestId Id = keyedWrite();
  callerDisconnected(Id.value());
  answer(ok(1, 10));
  sample(1, 10, {"s2", "s3"});
  BOOST_TEST(!isAnswered(Id));
  BOOST_REQUIRE(m_Records.size() == 1);
  BOOST_TEST((m_Records[0].m_Code == ResultCode::Ok));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

} // namespace ragwortmux
