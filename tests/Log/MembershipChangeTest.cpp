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
};

} // namespace

BOOST_DATA_TEST_CASE(NextChangeForDiscoveredPeers,
                     boost::unit_test::data::make(DiscoveredPeerCases), Case) {
  const auto Change =
      nextMembershipChangeForDiscoveredPeers({Case.m_Members}, Case.m_Peers, 3);
  BOOST_TEST((Change == Case.m_Expected));
}

BOOST_AUTO_TEST_SUITE_END()
