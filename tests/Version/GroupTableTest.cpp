#include "StateBuilder.h"

#include <boost/test/unit_test.hpp>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

/// A command and its expected result.
struct Step final {
  const char *m_Name;       ///< Name in messages.
  ControlCommand m_Command; ///< The command.
  bool m_Ok;                ///< True if the command has to be accepted.
};

SetInSync setSync(const std::string &Server, std::uint64_t OfTerm,
                  std::uint64_t Expected, SyncState Sync) {
  return {TheGroup, Term(OfTerm), ServerId(Server), Revision(Expected), Sync};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Groups)

BOOST_AUTO_TEST_CASE(ChecksPreconditionsOfGroupCommands,
                     *boost::unit_test::label("promise-2")) {
  const ServerId First("s1");
  const ServerId Second("s2");
  const Step Steps[] = {
      {"term before the first primary", EndTerm{TheGroup, Term(1)}, false},
      {"unknown server", AppointPrimary{TheGroup, Term(1), First, {}}, false},
      {"s1", registerServer("s1"), true},
      {"s2", registerServer("s2"), true},
      {"no port",
       RegisterServer{TheGroup, Second, FailureDomainId("d"), "a", 0, 1, 1},
       false},
      {"term 0", AppointPrimary{TheGroup, Term(0), First, {}}, false},
      {"first primary", AppointPrimary{TheGroup, Term(4), First, {}}, true},
      {"second primary", AppointPrimary{TheGroup, Term(4), Second, {}}, false},
      {"sync state of the primary", setSync("s1", 4, 3, SyncState::Behind),
       false},
      {"in sync at once", setSync("s2", 4, 0, SyncState::InSync), false},
      {"joining in another term", setSync("s2", 3, 0, SyncState::Joining),
       false},
      {"joining of another revision", setSync("s2", 4, 9, SyncState::Joining),
       false},
      {"joining", setSync("s2", 4, 0, SyncState::Joining), true},
      {"the same term", EndTerm{TheGroup, Term(4)}, false},
      {"next term", EndTerm{TheGroup, Term(5)}, true},
      {"order of an unknown server",
       OrderPromotion{TheGroup, Term(5), ServerId("s9")}, false},
      {"order in an ended term", OrderPromotion{TheGroup, Term(4), Second},
       false},
      {"order", OrderPromotion{TheGroup, Term(5), Second}, true},
      {"in sync without a primary", setSync("s2", 5, 4, SyncState::InSync),
       false},
      {"joining is not electable",
       AppointPrimary{TheGroup, Term(5), Second, {}}, false},
      {"replaced term", AppointPrimary{TheGroup, Term(4), First, {}}, false},
      {"next primary", AppointPrimary{TheGroup, Term(5), First, {Second}},
       true},
      {"order while there is a primary",
       OrderPromotion{TheGroup, Term(5), Second}, false},
      {"in sync", setSync("s2", 5, 4, SyncState::InSync), true},
      {"in sync as of an old revision", setSync("s2", 5, 4, SyncState::Behind),
       false},
  };
  ControlState State;
  for (const Step &Each : Steps) {
    const ControlStateData Before = State.exportData();
    const ControlResult Result = State.apply(Each.m_Command);
    BOOST_TEST(Result.ok() == Each.m_Ok,
               Each.m_Name << ": " << Result.m_Reason);
    // A refused command changes nothing.
    BOOST_TEST((Each.m_Ok || State.exportData() == Before), Each.m_Name);
  }
  BOOST_TEST((State.groups().findServer(TheGroup, Second)->m_Sync ==
              SyncState::InSync));
}

// That a server is the only one that was ordered to lead is known to later
// leaders, however many orders there were.
BOOST_AUTO_TEST_CASE(OrdersCountUntilNextPrimary) {
  ControlState State = makeState();
  State.apply(EndTerm{TheGroup, Term(2)});
  const auto Ordered = [&] { return State.groups().find(TheGroup)->m_Ordered; };
  for (const char *Server : {"s1", "s2", "s3", "s3", "s1"}) {
    const ServerId Id(Server);
    BOOST_TEST(State.apply(OrderPromotion{TheGroup, Term(2), Id}).ok());
    BOOST_TEST(Ordered().contains(Id));
  }
  BOOST_TEST(Ordered().size() == MaxOrderedServers);
  State.apply(EndTerm{TheGroup, Term(3)});
  BOOST_TEST(Ordered().size() == MaxOrderedServers);
  const AppointPrimary Appointed{
      TheGroup, Term(3), ServerId("s2"), {}, Term(9)};
  BOOST_TEST(State.apply(Appointed).ok());
  BOOST_TEST(Ordered().empty());
  BOOST_TEST((State.groups().find(TheGroup)->m_ServerTerm == Term(9)));
}

BOOST_AUTO_TEST_CASE(ServerWithNewAddressBecomesBehind) {
  ControlState State = makeState();
  RegisterServer Moved = registerServer("s2");
  Moved.m_Port = 9999;
  BOOST_TEST(State.apply(Moved).ok());
  BOOST_TEST((State.groups().findServer(TheGroup, Moved.m_Server)->m_Sync ==
              SyncState::Behind));
}

BOOST_AUTO_TEST_CASE(NewServerReplacesUnannouncedOneInFullGroup) {
  ControlState State = makeState();
  for (unsigned Number = 10; Number < 23; ++Number)
    BOOST_TEST(State.apply(registerServer("x" + std::to_string(Number))).ok());
  BOOST_TEST(!State.apply(registerServer("y1")).ok());
  const ServerId Unannounced("x12");
  State.apply(SetShares{TheGroup, Unannounced, {{ControlSessionId(1), 5}}});
  // Servers of the in-sync set are not replaced, even while they are silent.
  State.apply(SetServerState{TheGroup, ServerId("s2"), false, false});
  State.apply(SetServerState{TheGroup, Unannounced, false, false});
  BOOST_TEST(State.apply(registerServer("y1")).ok());
  BOOST_TEST((State.groups().findServer(TheGroup, Unannounced) == nullptr));
  BOOST_TEST(State.shares().maxOpen(TheGroup, Unannounced) == 0U);
  BOOST_TEST((State.groups().findServer(TheGroup, ServerId("s2")) != nullptr));
}

// A silent server may hold commits that the next primary must have; one that
// has ended has handed its log on.
BOOST_AUTO_TEST_CASE(NewServerReplacesEndedOneBeforeSilentOne) {
  ControlState State = makeState();
  for (unsigned Number = 10; Number < 23; ++Number)
    BOOST_TEST(State.apply(registerServer("x" + std::to_string(Number))).ok());
  const ServerId Silent("x11");
  const ServerId Ended("x20");
  State.apply(SetServerState{TheGroup, Silent, false, false});
  State.apply(SetServerState{TheGroup, Ended, true, false, true});
  BOOST_TEST(State.groups().findServer(TheGroup, Ended)->m_HasEnded);
  BOOST_TEST(State.apply(registerServer("y1")).ok());
  BOOST_TEST((State.groups().findServer(TheGroup, Ended) == nullptr));
  const Term Next(State.groups().find(TheGroup)->m_Term.value() + 1);
  BOOST_TEST(State.apply(EndTerm{TheGroup, Next}).ok());
  BOOST_TEST(!State.apply(registerServer("y2")).ok());
  BOOST_TEST((State.groups().findServer(TheGroup, Silent) != nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
