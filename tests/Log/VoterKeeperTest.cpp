#include "ragwortmux/Process/Log/VoterKeeper.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace ragwortmux;

namespace {

struct KeeperCase final {
  const char *m_Name;                  ///< Name of the case.
  std::vector<LogMember> m_Members;    ///< The configuration.
  std::vector<IdentifiedPeer> m_Peers; ///< The control hosts.
  std::optional<VoterStep> m_Expected; ///< Expected next change.
};

std::ostream &operator<<(std::ostream &Stream, const KeeperCase &Case) {
  return Stream << Case.m_Name;
}

using Kind = VoterStep::Kind;
const VoterId A("a");
const VoterId B("b");
const VoterId C("c");
const VoterId NewC("c2");
const LogMember VoterA{A, "host-a", true};
const LogMember VoterB{B, "host-b", true};
const LogMember VoterC{C, "host-c", true};
const IdentifiedPeer PeerA{"host-a", A};
const IdentifiedPeer PeerB{"host-b", B};
const IdentifiedPeer PeerC{"host-c", C};
const IdentifiedPeer SilentC{"host-c", std::nullopt};

const std::vector<KeeperCase> Cases = {
    {"no change is due", {VoterA, VoterB, VoterC}, {PeerA, PeerB, PeerC}, {}},
    {"an unreachable host changes nothing",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, SilentC},
     {}},
    {"a host lost its disk: its old voter is removed first",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, {"host-c", NewC}},
     VoterStep{Kind::Remove, C, ""}},
    {"the new voter id then joins as a learner",
     {VoterA, VoterB},
     {PeerA, PeerB, {"host-c", NewC}},
     VoterStep{Kind::AddLearner, NewC, "host-c"}},
    {"the learner is then promoted",
     {VoterA, VoterB, {NewC, "host-c", false}},
     {PeerA, PeerB, {"host-c", NewC}},
     VoterStep{Kind::Promote, NewC, ""}},
    {"an unlisted host stays until its successor is a voter",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, {"host-d", std::nullopt}},
     {}},
    {"the unlisted host is then removed",
     {VoterA, VoterB, VoterC, {NewC, "host-d", true}},
     {PeerA, PeerB, {"host-d", NewC}},
     VoterStep{Kind::Remove, C, ""}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(VoterKeeperTest)

BOOST_DATA_TEST_CASE(NextStep, boost::unit_test::data::make(Cases), Case) {
  const auto Step = nextVoterStep(LogMembership{Case.m_Members}, Case.m_Peers);
  BOOST_TEST((Step == Case.m_Expected));
}

namespace {

const VoterId D("d");
const LogMember LearnerD{D, "host-d", false};
const LogMember VoterD{D, "host-d", true};
const IdentifiedPeer PeerD{"host-d", D, false};

/// Cases with a target of three voters among the discovered hosts.
const std::vector<KeeperCase> FoundCases = {
    {"no change is due", {VoterA, VoterB, VoterC}, {PeerA, PeerB, PeerC}, {}},
    {"an unreachable voter stays while there are no more than three",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, SilentC},
     {}},
    {"a new host joins as a learner",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, PeerC, PeerD},
     VoterStep{Kind::AddLearner, D, "host-d"}},
    {"a learner is not promoted while all voters answer",
     {VoterA, VoterB, VoterC, LearnerD},
     {PeerA, PeerB, PeerC, PeerD},
     {}},
    {"a learner is promoted if a voter is unreachable",
     {VoterA, VoterB, VoterC, LearnerD},
     {PeerA, PeerB, SilentC, PeerD},
     VoterStep{Kind::Promote, D, ""}},
    {"the unreachable voter is then removed",
     {VoterA, VoterB, VoterC, VoterD},
     {PeerA, PeerB, PeerD},
     VoterStep{Kind::Remove, C, ""}},
    {"a host lost its disk: its old voter is removed",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, {"host-c", NewC}},
     VoterStep{Kind::Remove, C, ""}},
    {"an unreachable learner is removed",
     {VoterA, VoterB, VoterC, LearnerD},
     {PeerA, PeerB, PeerC},
     VoterStep{Kind::Remove, D, ""}},
};

} // namespace

BOOST_DATA_TEST_CASE(NextStepAmongFoundHosts,
                     boost::unit_test::data::make(FoundCases), Case) {
  const auto Step = nextFoundVoterStep({Case.m_Members}, Case.m_Peers, 3);
  BOOST_TEST((Step == Case.m_Expected));
}

BOOST_AUTO_TEST_SUITE_END()
