#include "ragwortmux/Process/Log/MembershipChange.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace ragwortmux;

namespace {

struct MembershipChangeCase final {
  const char *m_Name;                         ///< Name of the case.
  std::vector<LogMember> m_Members;           ///< The configuration.
  std::vector<PeerIdentity> m_Peers;          ///< The control hosts.
  std::optional<MembershipChange> m_Expected; ///< Expected next change.
  VoterTarget m_Target = {}; ///< Of discovered hosts; three voters.
};

std::ostream &operator<<(std::ostream &Stream,
                         const MembershipChangeCase &Case) {
  return Stream << Case.m_Name;
}

using Kind = MembershipChange::Kind;
const VoterId A("a");
const VoterId B("b");
const VoterId C("c");
const VoterId NewC("c2");
const LogMember VoterA{A, "host-a", true};
const LogMember VoterB{B, "host-b", true};
const LogMember VoterC{C, "host-c", true};
const PeerIdentity PeerA{"host-a", A};
const PeerIdentity PeerB{"host-b", B};
const PeerIdentity PeerC{"host-c", C};
const PeerIdentity UnreachableC{"host-c", std::nullopt};

const std::vector<MembershipChangeCase> ListedPeerCases = {
    {"no change is due", {VoterA, VoterB, VoterC}, {PeerA, PeerB, PeerC}, {}},
    {"an unreachable host changes nothing",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, UnreachableC},
     {}},
    {"a host lost its disk: its old voter is removed first",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, {"host-c", NewC}},
     MembershipChange{Kind::Remove, C, ""}},
    {"the new voter id then joins as a learner",
     {VoterA, VoterB},
     {PeerA, PeerB, {"host-c", NewC}},
     MembershipChange{Kind::AddLearner, NewC, "host-c"}},
    {"the learner is then promoted",
     {VoterA, VoterB, {NewC, "host-c", false}},
     {PeerA, PeerB, {"host-c", NewC}},
     MembershipChange{Kind::Promote, NewC, ""}},
    {"an unlisted host stays until its successor is a voter",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, {"host-d", std::nullopt}},
     {}},
    {"the unlisted host is then removed",
     {VoterA, VoterB, VoterC, {NewC, "host-d", true}},
     {PeerA, PeerB, {"host-d", NewC}},
     MembershipChange{Kind::Remove, C, ""}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipChangeTest)

BOOST_DATA_TEST_CASE(NextChangeForListedPeers,
                     boost::unit_test::data::make(ListedPeerCases), Case) {
  const auto Change = nextMembershipChangeForListedPeers(
      LogMembership{Case.m_Members}, Case.m_Peers);
  BOOST_TEST((Change == Case.m_Expected));
}

namespace {

const VoterId D("d");
const LogMember LearnerD{D, "host-d", false};
const LogMember VoterD{D, "host-d", true};
const PeerIdentity PeerD{"host-d", D, false};
const VoterId E("e");
const VoterId F("f");
const LogMember VoterE{E, "host-e", true};
const LogMember LearnerF{F, "host-f", false};
const PeerIdentity PeerE{"host-e", E, false};
const PeerIdentity PeerF{"host-f", F, false};
const PeerIdentity LeavingA{"host-a", A, true, true};
const PeerIdentity LeavingC{"host-c", C, true, true};
const VoterTarget ThreeToFive{3, 5};

/// Cases with a target of three voters among the discovered hosts.
const std::vector<MembershipChangeCase> DiscoveredPeerCases = {
    {"no change is due", {VoterA, VoterB, VoterC}, {PeerA, PeerB, PeerC}, {}},
    {"an unreachable voter stays while there are no more than three",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, UnreachableC},
     {}},
    {"a new host joins as a learner",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, PeerC, PeerD},
     MembershipChange{Kind::AddLearner, D, "host-d"}},
    {"a learner is not promoted while all voters answer",
     {VoterA, VoterB, VoterC, LearnerD},
     {PeerA, PeerB, PeerC, PeerD},
     {}},
    {"a learner is promoted if a voter is unreachable",
     {VoterA, VoterB, VoterC, LearnerD},
     {PeerA, PeerB, UnreachableC, PeerD},
     MembershipChange{Kind::Promote, D, ""}},
    {"the unreachable voter is then removed",
     {VoterA, VoterB, VoterC, VoterD},
     {PeerA, PeerB, PeerD},
     MembershipChange{Kind::Remove, C, ""}},
    {"a host lost its disk: its old voter is removed",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, {"host-c", NewC}},
     MembershipChange{Kind::Remove, C, ""}},
    {"an unreachable learner is removed",
     {VoterA, VoterB, VoterC, LearnerD},
     {PeerA, PeerB, PeerC},
     MembershipChange{Kind::Remove, D, ""}},
    {"a learner is promoted if a voter leaves",
     {VoterA, VoterB, VoterC, LearnerD},
     {PeerA, PeerB, LeavingC, PeerD},
     MembershipChange{Kind::Promote, D, ""}},
    {"the leaving voter is then removed",
     {VoterA, VoterB, VoterC, VoterD},
     {PeerA, PeerB, LeavingC, PeerD},
     MembershipChange{Kind::Remove, C, ""}},
    {"a leaving voter stays if nobody can take its place",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, LeavingC},
     {}},
    {"a leaving host does not join again",
     {VoterA, VoterB},
     {PeerA, PeerB, LeavingC},
     {}},
    {"a learner that leaves is removed",
     {VoterA, VoterB, VoterC, LearnerD},
     {PeerA, PeerB, PeerC, {"host-d", D, false, true}},
     MembershipChange{Kind::Remove, D, ""}},
    {"a silent voter is removed before one that leaves",
     {VoterA, VoterB, VoterC, VoterD},
     {LeavingA, PeerB, UnreachableC, PeerD},
     MembershipChange{Kind::Remove, C, ""}},
    {"a host beyond three is promoted while all voters answer",
     {VoterA, VoterB, VoterC, LearnerD},
     {PeerA, PeerB, PeerC, PeerD},
     MembershipChange{Kind::Promote, D, ""},
     ThreeToFive},
    {"a host beyond five stays a learner",
     {VoterA, VoterB, VoterC, VoterD, VoterE, LearnerF},
     {PeerA, PeerB, PeerC, PeerD, PeerE, PeerF},
     {},
     ThreeToFive},
    {"of five voters the one that leaves is replaced before it is removed",
     {VoterA, VoterB, VoterC, VoterD, VoterE, LearnerF},
     {PeerA, PeerB, LeavingC, PeerD, PeerE, PeerF},
     MembershipChange{Kind::Promote, F, ""},
     ThreeToFive},
};

/// Cases of a member that is told to end, with three to five voters.
struct AwaitRemovalCase final {
  const char *m_Name;               ///< Name of the case.
  std::vector<LogMember> m_Members; ///< The configuration; "c" is to end.
  bool m_Expected;                  ///< It should await its removal.
};

std::ostream &operator<<(std::ostream &Stream, const AwaitRemovalCase &Case) {
  return Stream << Case.m_Name;
}

const std::vector<AwaitRemovalCase> AwaitRemovalCases = {
    {"nobody can take its place", {VoterA, VoterB, VoterC}, false},
    {"a learner can", {VoterA, VoterB, VoterC, LearnerD}, true},
    {"more than three vote", {VoterA, VoterB, VoterC, VoterD}, true},
    {"it is a learner", {VoterA, VoterB, VoterD, {C, "host-c", false}}, false},
    {"it is no member", {VoterA, VoterB, VoterD, LearnerF}, false},
};

constexpr Instant MemberSeenAt{std::chrono::seconds(10)};

/// Cases of an answer from the address of the member "c".
struct ReplacedMemberCase final {
  const char *m_Name;    ///< Name of the case.
  PeerIdentity m_Answer; ///< The answer.
  bool m_Expected;       ///< The member's data folder is lost.
};

std::ostream &operator<<(std::ostream &Stream, const ReplacedMemberCase &Case) {
  return Stream << Case.m_Name;
}

PeerIdentity answerOf(const char *Address, std::optional<VoterId> Voter,
                      Duration After) {
  PeerIdentity Answer{Address, std::move(Voter)};
  Answer.m_AskedAt = MemberSeenAt + After;
  return Answer;
}

constexpr Duration Moment = std::chrono::milliseconds(1);

const std::vector<ReplacedMemberCase> ReplacedMemberCases = {
    {"the member itself answers", answerOf("host-c", C, Moment), false},
    {"another id answers", answerOf("host-c", NewC, Moment), true},
    {"another id answers a question from before the member was known",
     answerOf("host-c", NewC, -Moment), false},
    {"a question of the same moment may be older",
     answerOf("host-c", NewC, Duration(0)), false},
    {"nobody answers", answerOf("host-c", std::nullopt, Moment), false},
    {"another host answers", answerOf("host-d", D, Moment), false},
};

} // namespace

BOOST_DATA_TEST_CASE(NextChangeForDiscoveredPeers,
                     boost::unit_test::data::make(DiscoveredPeerCases), Case) {
  const auto Change = nextMembershipChangeForDiscoveredPeers(
      {Case.m_Members}, Case.m_Peers, Case.m_Target);
  BOOST_TEST((Change == Case.m_Expected));
}

// Guards against a control host that ends although its successor has no vote,
// and against one that waits for nothing.
BOOST_DATA_TEST_CASE(EndingMemberAwaitsRemoval,
                     boost::unit_test::data::make(AwaitRemovalCases), Case) {
  BOOST_TEST(shouldAwaitRemoval({Case.m_Members}, C, ThreeToFive) ==
             Case.m_Expected);
}

// Guards against a voter that is taken for lost because of an old answer.
BOOST_DATA_TEST_CASE(FindsReplacedMembers,
                     boost::unit_test::data::make(ReplacedMemberCases), Case) {
  ReplacedMembers Replaced;
  const LogMembership Members{{VoterA, VoterB, VoterC}};
  Replaced.update(MemberSeenAt, Members, {});
  Replaced.update(MemberSeenAt + 2 * Moment, Members, {{Case.m_Answer}});
  BOOST_TEST(Replaced.ids().contains(C) == Case.m_Expected);
  // A lost data folder does not come back; a removed member is forgotten.
  Replaced.update(MemberSeenAt + 3 * Moment, Members, {});
  BOOST_TEST(Replaced.ids().contains(C) == Case.m_Expected);
  Replaced.update(MemberSeenAt + 4 * Moment, {{VoterA, VoterB}}, {});
  BOOST_TEST(Replaced.ids().empty());
}

BOOST_AUTO_TEST_SUITE_END()
