#include "LogMemberHarness.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <algorithm>
#include <ostream>

namespace {

using namespace ragwortmux;
using namespace ragwortmux::test;
using boost::unit_test::label;
using Member = LogMemberHarness;

// --- Votes

enum class Answer { Granted, Refused, None };

struct VoteRow final {
  const char *m_Name;       ///< Name of the case.
  std::uint64_t m_VotedFor; ///< Vote in term 3; 0: none, 1: "b", 2: "c".
  bool m_IsLeaderAlive;     ///< The last contact with a leader is recent.
  VoteRequest m_Request; ///< From "b"; the member's last entry is 3 of term 3.
  Answer m_Answer;       ///< Expected reply.
  std::uint64_t m_TermAfter; ///< Expected term afterwards.

  friend std::ostream &operator<<(std::ostream &Out, const VoteRow &Row) {
    return Out << Row.m_Name;
  }
};

VoteRequest voteRequest(std::uint64_t Term, EntryId Last, bool PreVote = false,
                        bool Transfer = false) {
  return {LogTerm(Term), PreVote, Transfer, Last};
}

const VoteRow VoteRows[] = {
    {"same log", 0, false, voteRequest(4, entryId(3, 3)), Answer::Granted, 4},
    {"longer log", 0, false, voteRequest(4, entryId(9, 3)), Answer::Granted, 4},
    {"newer last term", 0, false, voteRequest(5, entryId(1, 4)),
     Answer::Granted, 5},
    {"shorter log", 0, false, voteRequest(4, entryId(2, 3)), Answer::Refused,
     4},
    {"older last term", 0, false, voteRequest(4, entryId(9, 2)),
     Answer::Refused, 4},
    {"earlier term", 0, false, voteRequest(2, entryId(9, 3)), Answer::Refused,
     3},
    {"repeated request of the same candidate", 1, false,
     voteRequest(3, entryId(3, 3)), Answer::Granted, 3},
    {"already voted for another candidate", 2, false,
     voteRequest(3, entryId(3, 3)), Answer::Refused, 3},
    {"leader alive", 0, true, voteRequest(4, entryId(3, 3)), Answer::None, 3},
    {"leader transfers leadership", 0, true,
     voteRequest(4, entryId(3, 3), false, true), Answer::Granted, 4},
    {"pre-vote does not change the term", 0, false,
     voteRequest(4, entryId(3, 3), true), Answer::Granted, 3},
    {"pre-vote, leader alive", 0, true, voteRequest(4, entryId(3, 3), true),
     Answer::Refused, 3},
    {"pre-vote, shorter log", 0, false, voteRequest(4, entryId(2, 3), true),
     Answer::Refused, 3},
    {"pre-vote for the current term", 0, false,
     voteRequest(3, entryId(3, 3), true), Answer::Refused, 3},
};

BOOST_DATA_TEST_CASE(GrantsVotesAccordingToTermAndLog, VoteRows, Row) {
  const VoterId Voted[] = {VoterId(), Other, Third};
  Member A({1, 1, 3}, {LogTerm(3), Voted[Row.m_VotedFor]});
  if (!Row.m_IsLeaderAlive)
    A.m_Now += LongSilence;
  A.receive(Other, Row.m_Request);
  A.persist();
  const std::vector<VoteReply> Replies = A.removeMessages<VoteReply>();
  const Answer Actual = Replies.empty()             ? Answer::None
                        : Replies.front().m_Granted ? Answer::Granted
                                                    : Answer::Refused;
  BOOST_CHECK(Actual == Row.m_Answer);
  BOOST_CHECK_EQUAL(A.log().term().value(), Row.m_TermAfter);
}

BOOST_AUTO_TEST_CASE(SendsVoteOnlyOnceDurable, *label("promise-9")) {
  Member A({1});
  A.m_Now += LongSilence;
  A.receive(Other, voteRequest(2, entryId(1, 1)));
  A.collectActions();
  BOOST_CHECK(A.removeMessages<VoteReply>().empty());
  A.persist();
  BOOST_CHECK(A.removeMessages<VoteReply>().at(0).m_Granted);
}

BOOST_AUTO_TEST_CASE(IgnoresMessagesForReplacedDisk, *label("promise-9")) {
  Member A({1});
  A.m_Now += LongSilence;
  A.log().receive(A.m_Now,
                  {Other, VoterId("lost"), voteRequest(2, entryId(1, 1))});
  A.persist();
  BOOST_CHECK(A.removeMessages<VoteReply>().empty());
}

BOOST_AUTO_TEST_CASE(BlankMemberNeverStartsElection) {
  Member A({});
  for (int Round = 0; Round < 5; ++Round) {
    A.m_Now += LongSilence;
    A.log().tick(A.m_Now);
    A.persist();
  }
  BOOST_CHECK(A.log().role() == LogRole::Follower);
  BOOST_CHECK(A.removeMessages<VoteRequest>().empty());
}

BOOST_AUTO_TEST_CASE(IgnoresVotesThatArriveTooLate) {
  Member A({1});
  A.m_Now += LongSilence;
  A.log().tick(A.m_Now);
  A.receive(Other, VoteReply{LogTerm(2), true, true});
  A.persist();
  A.m_Now += LongSilence;
  A.receive(Other, VoteReply{A.log().term(), false, true});
  A.persist();
  BOOST_CHECK(A.log().role() != LogRole::Leader);
}

// --- Entries

struct AppendRow final {
  const char *m_Name;                  ///< Name of the case.
  std::vector<std::uint64_t> m_Before; ///< Terms of the member's log.
  EntryId m_Previous; ///< Previous entry of the request of term 5.
  std::vector<std::uint64_t> m_Entries; ///< Terms of the entries sent.
  std::uint64_t m_CommitIndex;          ///< The leader's commit index.
  bool m_Accepted;                      ///< Expected reply.
  std::uint64_t m_MatchOrHint; ///< Expected match if accepted, else hint.
  std::vector<std::uint64_t> m_After; ///< Expected terms of the log.
  std::uint64_t m_CommitAfter;        ///< Expected commit index.

  friend std::ostream &operator<<(std::ostream &Out, const AppendRow &Row) {
    return Out << Row.m_Name;
  }
};

const AppendRow AppendRows[] = {
    {"appends at the end",
     {1, 2},
     entryId(2, 2),
     {5},
     3,
     true,
     3,
     {1, 2, 5},
     3},
    {"duplicated request",
     {1, 2, 5},
     entryId(1, 1),
     {2},
     0,
     true,
     2,
     {1, 2, 5},
     0},
    {"replaces conflicting entries",
     {1, 2, 3},
     entryId(1, 1),
     {5},
     0,
     true,
     2,
     {1, 5},
     0},
    {"commits only verified entries",
     {1, 2},
     entryId(1, 1),
     {},
     2,
     true,
     1,
     {1, 2},
     1},
    {"previous entry is missing",
     {1, 2},
     entryId(5, 5),
     {5},
     5,
     false,
     2,
     {1, 2},
     0},
    {"previous entry has another term",
     {1, 2, 2, 2},
     entryId(4, 4),
     {5},
     4,
     false,
     1,
     {1, 2, 2, 2},
     0},
    {"heartbeat", {1, 2}, entryId(2, 2), {}, 1, true, 2, {1, 2}, 1},
};

BOOST_DATA_TEST_CASE(HandlesAppendRequests, AppendRows, Row) {
  Member A(Row.m_Before, {LogTerm(5), VoterId()});
  AppendRequest Request{
      LogTerm(5), Row.m_Previous, {}, LogIndex(Row.m_CommitIndex), 7};
  for (std::uint64_t Term : Row.m_Entries) {
    LogEntry Entry;
    Entry.m_Id = entryId(
        Row.m_Previous.m_Index.value() + 1 + Request.m_Entries.size(), Term);
    Request.m_Entries.push_back(Entry);
  }
  A.receive(Other, Request);
  A.persist();
  const std::vector<AppendReply> Replies = A.removeMessages<AppendReply>();
  BOOST_REQUIRE_EQUAL(Replies.size(), 1);
  const AppendReply &Reply = Replies.front();
  BOOST_CHECK_EQUAL(Reply.m_Accepted, Row.m_Accepted);
  BOOST_CHECK_EQUAL(Reply.m_Round, 7);
  BOOST_CHECK_EQUAL(
      (Row.m_Accepted ? Reply.m_MatchIndex : Reply.m_HintIndex).value(),
      Row.m_MatchOrHint);
  BOOST_TEST(A.terms() == Row.m_After, boost::test_tools::per_element());
  BOOST_CHECK_EQUAL(A.log().commitIndex().value(), Row.m_CommitAfter);
}

struct InconsistentRow final {
  const char *m_Name;             ///< The inconsistency.
  EntryId m_Previous;             ///< Previous entry of the request of term 5.
  std::vector<EntryId> m_Entries; ///< Entries of the request.

  friend std::ostream &operator<<(std::ostream &Out,
                                  const InconsistentRow &Row) {
    return Out << Row.m_Name;
  }
};

// The member has three entries of terms 1, 2 and 2, two of them committed.
const InconsistentRow InconsistentRows[] = {
    {"gap within the entries", entryId(3, 2), {entryId(4, 5), entryId(6, 5)}},
    {"gap before the entries", entryId(3, 2), {entryId(5, 5)}},
    {"terms decrease", entryId(3, 2), {entryId(4, 5), entryId(5, 4)}},
    {"term after that of the request", entryId(3, 2), {entryId(4, 6)}},
    {"previous entry conflicts with a committed one",
     entryId(2, 1),
     {entryId(3, 2)}},
    {"entry conflicts with a committed one", entryId(1, 1), {entryId(2, 3)}},
};

BOOST_DATA_TEST_CASE(IgnoresInconsistentAppendRequests, InconsistentRows, Row) {
  Member A({1, 2, 2}, {LogTerm(5), VoterId()});
  A.receive(Other,
            AppendRequest{LogTerm(5), entryId(2, 2), {}, LogIndex(2), 1});
  A.persist();
  A.removeActions<SendMessage>();
  AppendRequest Request{LogTerm(5), Row.m_Previous, {}, {}, 2};
  for (const EntryId &Id : Row.m_Entries) {
    Request.m_Entries.emplace_back();
    Request.m_Entries.back().m_Id = Id;
  }
  A.receive(Other, Request);
  A.persist();
  BOOST_CHECK(A.removeMessages<AppendReply>().empty());
  BOOST_CHECK(A.log().log().last() == entryId(3, 2));
}

BOOST_AUTO_TEST_CASE(AcknowledgesEntriesOnlyOnceDurable, *label("promise-9")) {
  Member A({1}, {LogTerm(2), VoterId()});
  LogEntry Entry;
  Entry.m_Id = entryId(2, 2);
  A.receive(Other,
            AppendRequest{LogTerm(2), entryId(1, 1), {Entry}, LogIndex(2), 1});
  A.collectActions();
  BOOST_CHECK(A.removeMessages<AppendReply>().empty());
  BOOST_CHECK(A.log().appliedIndex() < LogIndex(2));
  A.persist();
  BOOST_CHECK(A.removeMessages<AppendReply>().at(0).m_MatchIndex ==
              LogIndex(2));
  BOOST_CHECK(A.log().appliedIndex() == LogIndex(2));
}

BOOST_AUTO_TEST_CASE(CountsOwnEntryForCommitOnlyOnceDurable,
                     *label("promise-9")) {
  Member A({1});
  A.becomeLeader();
  A.acknowledge(2, 1);
  const std::optional<EntryId> Id = A.log().propose(A.m_Now, "x");
  BOOST_REQUIRE(Id);
  A.collectActions();
  A.receive(Other, AppendReply{A.log().term(), true, Id->m_Index, {}, {}, 1});
  A.collectActions();
  BOOST_CHECK(A.log().commitIndex() < Id->m_Index);
  A.persist();
  BOOST_CHECK(A.log().commitIndex() == Id->m_Index);
}

// Two members have stored entry 2 of term 2, but a member with entry 2 of term
// 3 could still be elected and overwrite it, until both have stored an entry of
// term 4.
BOOST_AUTO_TEST_CASE(CommitsEarlierTermsOnlyWithEntryOfOwnTerm,
                     *label("promise-9")) {
  Member A({1, 2}, {LogTerm(3), VoterId()});
  BOOST_REQUIRE_EQUAL(A.becomeLeader().value(), 4);
  A.acknowledge(2, 1);
  BOOST_CHECK_EQUAL(A.log().commitIndex().value(), 0);
  A.acknowledge(3, 1);
  BOOST_CHECK_EQUAL(A.log().commitIndex().value(), 3);
}

BOOST_AUTO_TEST_CASE(DropsProposalOnceAnotherEntryIsCommitted) {
  Member A({1});
  const LogTerm Term = A.becomeLeader();
  const std::optional<EntryId> Id = A.log().propose(A.m_Now, "x");
  A.persist();
  LogEntry Another;
  Another.m_Id = {Id->m_Index, LogTerm(9)};
  AppendRequest Request{LogTerm(9), {LogIndex(2), Term}, {Another}, {}, 1};
  A.receive(Other, Request);
  A.persist();
  BOOST_CHECK(A.removeActions<ProposalDropped>().empty());
  Request.m_CommitIndex = Id->m_Index;
  A.receive(Other, Request);
  A.persist();
  const std::vector<ProposalDropped> Dropped =
      A.removeActions<ProposalDropped>();
  BOOST_REQUIRE_EQUAL(Dropped.size(), 1);
  BOOST_CHECK(Dropped[0].m_Id == *Id);
  BOOST_CHECK(Dropped[0].m_Outcome == ProposalOutcome::NotCommitted);
}

// --- Leadership

BOOST_AUTO_TEST_CASE(ConfirmsLeadershipOnlyByLaterRound,
                     *label("promise-2") * label("promise-9")) {
  Member A({1});
  A.becomeLeader();
  A.acknowledge(2, 1);
  BOOST_CHECK(A.log().isReady());
  BOOST_REQUIRE(A.log().confirmLeadership(A.m_Now, ConfirmationToken(5)));
  A.persist();
  const std::uint64_t LaterRound =
      A.removeMessages<AppendRequest>().back().m_Round;
  A.acknowledge(2, LaterRound - 1);
  BOOST_CHECK(A.removeActions<LeadershipConfirmed>().empty());
  A.acknowledge(2, LaterRound);
  BOOST_CHECK(A.removeActions<LeadershipConfirmed>().at(0).m_Token ==
              ConfirmationToken(5));
}

BOOST_AUTO_TEST_CASE(DropsConfirmationsWhenLeadershipIsLost,
                     *label("promise-2")) {
  Member A({1});
  A.becomeLeader();
  A.acknowledge(2, 1);
  BOOST_REQUIRE(A.log().confirmLeadership(A.m_Now, ConfirmationToken(5)));
  A.receive(Third, AppendReply{LogTerm(9), false, {}, {}, {}, 0});
  A.acknowledge(2, 2);
  BOOST_CHECK(A.removeActions<LeadershipConfirmed>().empty());
  BOOST_CHECK_EQUAL(A.removeActions<ConfirmationDropped>().size(), 1);
  BOOST_CHECK(!A.log().confirmLeadership(A.m_Now, ConfirmationToken(6)));
}

struct LossCase final {
  const char *m_Name;            ///< What ends the leadership.
  void (*m_End)(Member &Leader); ///< Ends it.
  LeadershipLoss m_Reason;       ///< The expected reason.

  friend std::ostream &operator<<(std::ostream &Stream, const LossCase &Case) {
    return Stream << Case.m_Name;
  }
};

const std::vector<LossCase> Losses = {
    {"no quorum answers",
     [](Member &Leader) {
       Leader.m_Now += LongSilence;
       Leader.log().tick(Leader.m_Now);
     },
     LeadershipLoss::QuorumSilent},
    {"a message of a higher term",
     [](Member &Leader) {
       const LogTerm Higher(Leader.log().term().value() + 1);
       Leader.receive(Other, AppendReply{Higher, false, {}, {}, {}, 0});
     },
     LeadershipLoss::HigherTerm},
    {"the log cannot be written",
     [](Member &Leader) { Leader.log().persistFailed(); },
     LeadershipLoss::PersistFailed}};

BOOST_DATA_TEST_CASE(LostLeadershipNamesItsReason,
                     boost::unit_test::data::make(Losses), Case) {
  Member A({1});
  A.becomeLeader();
  A.m_Now += std::chrono::milliseconds(20);
  const Instant RoundStart = A.m_Now;
  BOOST_REQUIRE(A.log().confirmLeadership(A.m_Now, ConfirmationToken(7)));
  A.persist();
  const auto Round = A.removeMessages<AppendRequest>().back().m_Round;
  A.m_Now += std::chrono::milliseconds(5);
  A.acknowledge(2, Round);
  Case.m_End(A);
  A.collectActions();
  const auto Lost = A.removeActions<LostLeadership>();
  BOOST_REQUIRE_EQUAL(Lost.size(), 1U);
  BOOST_CHECK(Lost[0].m_Reason == Case.m_Reason);
  BOOST_CHECK(Lost[0].m_QuorumContactAt == RoundStart);
}

BOOST_AUTO_TEST_CASE(LeaderWithoutQuorumStepsDown, *label("promise-2")) {
  Member A({1});
  A.becomeLeader();
  A.acknowledge(2, 1);
  A.m_Now += ReplicatedLogSettings().m_CheckQuorumTimeout;
  A.log().tick(A.m_Now);
  BOOST_CHECK(A.log().role() == LogRole::Follower);
}

BOOST_AUTO_TEST_CASE(StopsPermanentlyAfterPersistFailure, *label("promise-9")) {
  Member A({1});
  A.becomeLeader();
  A.log().persistFailed();
  A.m_Now += LongSilence;
  A.receive(Other, voteRequest(9, entryId(9, 9), false, true));
  A.log().tick(A.m_Now);
  A.persist();
  BOOST_CHECK(A.log().role() == LogRole::Stopped);
  BOOST_CHECK(A.removeActions<SendMessage>().empty());
  BOOST_CHECK(!A.log().propose(A.m_Now, "x"));
}

// --- Refusals

struct RefusalRow final {
  const char *m_Reason;      ///< Expected reason.
  std::uint64_t m_Committed; ///< Entries acknowledged by "b"; 0: this member is
                             ///< not the leader.
  std::function<bool(ReplicatedLog &, Instant)> m_Call; ///< Returns true if
                                                        ///< refused.

  friend std::ostream &operator<<(std::ostream &Out, const RefusalRow &Row) {
    return Out << Row.m_Reason;
  }
};

const RefusalRow RefusalRows[] = {
    {"this member is not the leader", 0,
     [](ReplicatedLog &Log, Instant Now) { return !Log.propose(Now, "x"); }},
    {"the payload exceeds the size limit of a proposal", 2,
     [](ReplicatedLog &Log, Instant Now) {
       return !Log.propose(Now, std::string(9, 'x'));
     }},
    {"too many entries are waiting to be committed", 2,
     [](ReplicatedLog &Log, Instant Now) {
       while (Log.log().last().m_Index < LogIndex(6))
         Log.propose(Now, "x");
       return !Log.propose(Now, "x");
     }},
    {"too many bytes are waiting to be committed", 2,
     [](ReplicatedLog &Log, Instant Now) {
       return Log.propose(Now, "12345678") && !Log.propose(Now, "x");
     }},
    {"the leader has not committed an entry of its own term yet", 1,
     [](ReplicatedLog &Log, Instant Now) {
       return !Log.addMember(Now, VoterId("d"), "");
     }},
    {"the previous membership change is not committed yet", 2,
     [](ReplicatedLog &Log, Instant Now) {
       return Log.addMember(Now, VoterId("d"), "") &&
              !Log.addMember(Now, VoterId("e"), "");
     }},
    {"the learner has not caught up with the log", 2,
     [](ReplicatedLog &Log, Instant Now) {
       Log.addMember(Now, VoterId("d"), "");
       return !Log.promoteMember(Now, VoterId("d"));
     }},
    {"the member is already a voter", 2,
     [](ReplicatedLog &Log, Instant Now) {
       return !Log.promoteMember(Now, Other);
     }},
    {"no member has this voter id", 2,
     [](ReplicatedLog &Log, Instant Now) {
       return !Log.removeMember(Now, VoterId("d"));
     }},
    {"no quorum of the new configuration is reachable", 2,
     [](ReplicatedLog &Log, Instant Now) {
       return !Log.removeMember(Now + LongSilence, Third);
     }},
    {"the transfer target has not caught up with the log", 2,
     [](ReplicatedLog &Log, Instant Now) {
       return !Log.transferLeadership(Now, Third);
     }},
    {"the entry is not applied yet or already covered by a snapshot", 2,
     [](ReplicatedLog &Log, Instant Now) {
       return !Log.takeSnapshot(Now, LogIndex(3), "");
     }},
};

BOOST_DATA_TEST_CASE(RefusesWithReason, RefusalRows, Row) {
  ReplicatedLogSettings Settings;
  Settings.m_MaxPayloadBytes = 8;
  Settings.m_MaxUncommittedEntries = 4;
  Settings.m_MaxUncommittedBytes = 8;
  Member A({1}, {}, Settings);
  if (Row.m_Committed > 0) {
    A.becomeLeader();
    A.acknowledge(Row.m_Committed, 1);
  }
  BOOST_CHECK(Row.m_Call(A.log(), A.m_Now));
  BOOST_CHECK_EQUAL(A.log().lastReason(), Row.m_Reason);
}

} // namespace
