#include "ragwortmux/Process/Log/VoterKeeper.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace ragwortmux;

namespace {

struct KeeperCase final {
  const char *m_Name;                  ///< What happens.
  std::vector<LogMember> m_Members;    ///< The configuration.
  std::vector<IdentifiedPeer> m_Peers; ///< The hosts of the settings.
  std::optional<VoterStep> m_Expected; ///< The next step.
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
    {"all in place", {VoterA, VoterB, VoterC}, {PeerA, PeerB, PeerC}, {}},
    {"a silent host changes nothing",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, SilentC},
     {}},
    {"a lost disk: the lost voter goes first",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, {"host-c", NewC}},
     VoterStep{Kind::Remove, C, ""}},
    {"then the new one learns",
     {VoterA, VoterB},
     {PeerA, PeerB, {"host-c", NewC}},
     VoterStep{Kind::AddLearner, NewC, "host-c"}},
    {"then it gets its vote",
     {VoterA, VoterB, {NewC, "host-c", false}},
     {PeerA, PeerB, {"host-c", NewC}},
     VoterStep{Kind::Promote, NewC, ""}},
    {"a host that left the settings stays until its successor votes",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, {"host-d", std::nullopt}},
     {}},
    {"and goes then",
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

/// Three voters are to be kept among the hosts that are found.
const std::vector<KeeperCase> FoundCases = {
    {"all in place", {VoterA, VoterB, VoterC}, {PeerA, PeerB, PeerC}, {}},
    {"a silent voter stays while it cannot be spared",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, SilentC},
     {}},
    {"a new host joins as a learner",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, PeerC, PeerD},
     VoterStep{Kind::AddLearner, D, "host-d"}},
    {"it stays one while all voters answer",
     {VoterA, VoterB, VoterC, LearnerD},
     {PeerA, PeerB, PeerC, PeerD},
     {}},
    {"it gets the vote of a silent one",
     {VoterA, VoterB, VoterC, LearnerD},
     {PeerA, PeerB, SilentC, PeerD},
     VoterStep{Kind::Promote, D, ""}},
    {"then the silent one goes",
     {VoterA, VoterB, VoterC, VoterD},
     {PeerA, PeerB, PeerD},
     VoterStep{Kind::Remove, C, ""}},
    {"a host that lost its disk is another voter",
     {VoterA, VoterB, VoterC},
     {PeerA, PeerB, {"host-c", NewC}},
     VoterStep{Kind::Remove, C, ""}},
    {"a silent learner goes",
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
