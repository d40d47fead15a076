#include "ragwortmux/Process/Log/VoterQuorum.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <bit>
#include <cstdint>
#include <vector>

using namespace ragwortmux;

namespace {

/// A set of voters: bit n stands for voter n.
using VoterSet = std::uint32_t;

constexpr std::size_t MostVoters = 7;

VoterId voter(std::size_t Number) { return VoterId(std::to_string(Number)); }

LogMembership membersOf(std::size_t Voters) {
  LogMembership Members;
  for (std::size_t Number = 0; Number < Voters; ++Number)
    Members.m_Members.push_back({voter(Number), "", true});
  Members.m_Members.push_back({VoterId("learner"), "", false});
  return Members;
}

VoterQuorum quorumWithout(VoterSet Replaced) {
  std::set<VoterId> Ids;
  for (std::size_t Number = 0; Number < MostVoters; ++Number)
    if ((Replaced >> Number & 1U) != 0)
      Ids.insert(voter(Number));
  VoterQuorum Quorum;
  Quorum.setReplaced(std::move(Ids));
  return Quorum;
}

std::size_t sizeOf(VoterSet Set) {
  return static_cast<std::size_t>(std::popcount(Set));
}

/// All sets that a member which knows of \p Replaced takes for a quorum.
std::vector<VoterSet> quorumsOf(std::size_t Voters, VoterSet Replaced) {
  const std::size_t Needed = quorumWithout(Replaced).size(membersOf(Voters));
  std::vector<VoterSet> Found;
  for (VoterSet Set = 0; Set < VoterSet{1} << Voters; ++Set)
    if (sizeOf(Set & ~Replaced) >= Needed)
      Found.push_back(Set);
  return Found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(VoterQuorumTest)

// Guards against two quorums without a common voter, whichever of the lost
// disks each side knows of: then an acknowledged entry could be lost, or two
// leaders be elected. A voter with a lost disk took part before it was lost.
BOOST_DATA_TEST_CASE(QuorumsHaveLivingVoterInCommon,
                     boost::unit_test::data::xrange<std::size_t>(1, MostVoters +
                                                                        1),
                     Voters) {
  const VoterSet End = VoterSet{1} << Voters;
  // A majority must have remained: otherwise more disks are lost than are
  // borne.
  for (VoterSet Lost = 0; Lost < End; ++Lost) {
    if (2 * sizeOf(Lost) > Voters)
      continue;
    const std::vector<VoterSet> Informed = quorumsOf(Voters, Lost);
    for (VoterSet Known = Lost;; Known = (Known - 1) & Lost) {
      for (const VoterSet One : Informed)
        for (const VoterSet Other : quorumsOf(Voters, Known))
          BOOST_REQUIRE_MESSAGE((One & Other & ~Lost) != 0,
                                "lost " << Lost << ", known " << Known << ": "
                                        << One << " and " << Other);
      if (Known == 0)
        break;
    }
  }
}

/// A configuration with lost disks and the least quorum of the others.
struct SizeCase final {
  std::size_t m_Voters;   ///< Number of voters.
  std::size_t m_Replaced; ///< Number of lost disks among them.
  std::size_t m_Expected; ///< Size of a quorum.
};

std::ostream &operator<<(std::ostream &Stream, const SizeCase &Case) {
  return Stream << Case.m_Voters << " voters, " << Case.m_Replaced << " lost";
}

const std::vector<SizeCase> SizeCases = {
    {1, 0, 1}, {2, 0, 2}, {2, 1, 1}, {3, 0, 2}, {3, 1, 2}, {4, 0, 3},
    {4, 1, 2}, {4, 2, 2}, {5, 0, 3}, {5, 1, 3}, {6, 1, 3}, {6, 2, 3},
};

BOOST_DATA_TEST_CASE(SizeOfQuorum, boost::unit_test::data::make(SizeCases),
                     Case) {
  const VoterSet Replaced = (VoterSet{1} << Case.m_Replaced) - 1;
  BOOST_TEST(quorumWithout(Replaced).size(membersOf(Case.m_Voters)) ==
             Case.m_Expected);
}

// A value is reached by a quorum only if enough voters with disks reach it.
BOOST_AUTO_TEST_CASE(ValuesOfReplacedVotersDoNotCount) {
  const auto ValueOf = [](const VoterId &Id) { return std::stoi(Id.value()); };
  const LogMembership Members = membersOf(4);
  BOOST_TEST(quorumWithout(0).highestReached<int>(Members, ValueOf) == 1);
  BOOST_TEST(quorumWithout(0b1000).highestReached<int>(Members, ValueOf) == 1);
  BOOST_TEST(quorumWithout(0b0001).highestReached<int>(Members, ValueOf) == 2);
  BOOST_TEST(quorumWithout(0b0111).highestReached<int>(Members, ValueOf) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
