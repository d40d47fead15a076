#include "StateBuilder.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

const ServerId Server("s1");

Revision revisionOf(const ControlState &State) {
  return State.groups().find(TheGroup)->m_Revision;
}

ControlResult setShare(ControlState &State, std::uint64_t Session,
                       std::uint32_t Connections) {
  return State.apply(
      SetShares{TheGroup, Server, {{ControlSessionId(Session), Connections}}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(Shares)

BOOST_AUTO_TEST_CASE(GrowsOnlyAfterShrinkIsConfirmed) {
  ControlState State = makeState();
  BOOST_TEST(setShare(State, 1, 32).ok());
  BOOST_TEST(!setShare(State, 2, 1).ok());
  BOOST_TEST(setShare(State, 1, 10).ok());
  const Revision Shrunk = revisionOf(State);
  // The session may still have 32 connections open until it has confirmed 10.
  BOOST_TEST(!setShare(State, 2, 1).ok());
  State.apply(ConfirmShares{TheGroup, ControlSessionId(1),
                            Revision(Shrunk.value() - 1)});
  BOOST_TEST(!setShare(State, 2, 1).ok());
  State.apply(ConfirmShares{TheGroup, ControlSessionId(1), Shrunk});
  BOOST_TEST(setShare(State, 2, 22).ok());
  BOOST_TEST(!setShare(State, 2, 23).ok());
  // The end of a session frees all its connections.
  State.apply(EndSession{ControlSessionId(1)});
  BOOST_TEST(setShare(State, 2, 32).ok());
  BOOST_TEST(!setShare(State, 1, 1).ok());
}

BOOST_AUTO_TEST_CASE(BudgetFollowsServersLimit) {
  struct Case final {
    std::uint32_t m_Limit;  ///< Connections that the server accepts.
    std::uint32_t m_Budget; ///< Connections that may be granted.
  };
  const Case Cases[] = {{1, 0}, {4, 1}, {35, 32}, {60, 57}, {240, 237}};
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT("limit " << Each.m_Limit) {
      ControlState State = makeState();
      State.apply(registerServer("s1", Each.m_Limit));
      BOOST_TEST(State.shares().budget(Each.m_Limit) == Each.m_Budget);
      BOOST_TEST(setShare(State, 1, Each.m_Budget).ok());
      BOOST_TEST(!setShare(State, 2, 1).ok());
    }
  }
}

BOOST_AUTO_TEST_CASE(RandomCommandsNeverExceedBudget) {
  // Each simulated session opens as many connections as the last view allows
  // that has reached it.
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937 Random(Seed);
    ControlState State = makeState();
    struct Holder final {
      std::uint32_t m_Open = 0; ///< Open connections.
      Revision m_Seen;          ///< Revision of the view that it applies.
    };
    std::map<std::uint64_t, Holder> Holders = {{1, {}}, {2, {}}, {3, {}}};
    unsigned Accepted = 0;
    for (unsigned Round = 0; Round < 2000; ++Round) {
      const std::uint64_t Last = State.sessions().last().value();
      auto Picked = Holders.begin();
      std::advance(Picked, Random() % Holders.size());
      auto &[Session, Holder] = *Picked;
      switch (Random() % 5) {
      case 0:
      case 1:
        Accepted += setShare(State, Session, Random() % 36).ok() ? 1 : 0;
        break;
      case 2:
        Holder.m_Open =
            State.shares().share(TheGroup, Server, ControlSessionId(Session));
        Holder.m_Seen = revisionOf(State);
        break;
      case 3:
        State.apply(
            ConfirmShares{TheGroup, ControlSessionId(Session), Holder.m_Seen});
        break;
      case 4:
        if (Random() % 8 != 0)
          break;
        State.apply(EndSession{ControlSessionId(Session)});
        Holders.erase(Picked);
        State.apply(openSession("h" + std::to_string(Last + 1)));
        Holders[Last + 1] = {};
        break;
      }
      std::uint32_t Open = 0;
      for (const auto &[Id, Each] : Holders)
        Open += Each.m_Open;
      BOOST_REQUIRE_LE(Open, 32U);
      BOOST_REQUIRE_LE(State.shares().maxOpen(TheGroup, Server), 32U);
    }
    BOOST_TEST(Accepted > 50U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
