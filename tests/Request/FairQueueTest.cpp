#include "ragwortmux/Request/FairQueue.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace ragwortmux::test {

namespace {

using std::chrono::milliseconds;

constexpr Instant Start{std::chrono::hours(1)};
const WorkspaceId Large("large");
const WorkspaceId Small("small");

struct QueueFixture {
  void add(std::uint64_t Id, std::uint32_t Priority, Instant Arrived,
           std::optional<Instant> LateAt = std::nullopt,
           const WorkspaceId &Workspace = WorkspaceId()) {
    m_Queue.add({RequestId(Id), Workspace, Priority, Arrived, LateAt,
                 QueueLane::Read, 1});
  }
  std::vector<std::uint64_t> order() {
    std::vector<std::uint64_t> Order;
    FairQueue::Walk Walk = m_Queue.walk();
    while (const auto Id = Walk.next())
      Order.push_back(Id->value());
    return Order;
  }
  /// Sends the first statement to a server.
  std::uint64_t send(std::uint32_t Priority, const WorkspaceId &Workspace) {
    const RequestId Id = *m_Queue.walk().next();
    m_Queue.charge(Workspace, Priority);
    m_Queue.remove(Id);
    return Id.value();
  }

  FairQueue m_Queue;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FairQueueTest, QueueFixture)

// Load pattern: one statement per millisecond arrives at a server that needs 2
// ms for each; the latency target is 50 ms.
BOOST_AUTO_TEST_CASE(LateStatementsYieldToOthers) {
  constexpr auto Target = milliseconds(50);
  std::map<RequestId, Instant> Arrivals;
  std::size_t InTime = 0;
  std::size_t Served = 0;
  for (int Ms = 0; Ms < 1000; ++Ms) {
    const Instant Now = Start + milliseconds(Ms);
    const RequestId Id(static_cast<std::uint64_t>(Ms) + 1);
    Arrivals[Id] = Now;
    add(Id.value(), 2, Now, Now + Target);
    if (Ms % 2 != 0)
      continue;
    m_Queue.advance(Now);
    const RequestId Next = *m_Queue.walk().next();
    InTime += Now - Arrivals.at(Next) < Target ? 1U : 0U;
    ++Served;
    m_Queue.remove(Next);
  }
  // In order of arrival all but the first 50 would be late.
  BOOST_TEST(InTime == Served);
}

BOOST_AUTO_TEST_CASE(PriorityPrecedesLateness) {
  add(1, 2, Start);
  add(2, 1, Start, Start + milliseconds(1));
  add(3, 1, Start);
  add(4, 2, Start, Start + milliseconds(2));
  m_Queue.advance(Start + milliseconds(1));
  BOOST_TEST((order() == std::vector<std::uint64_t>{3, 2, 1, 4}));
  m_Queue.remove(RequestId(2));
  m_Queue.remove(RequestId(2));
  m_Queue.advance(Start + milliseconds(2));
  BOOST_TEST(m_Queue.size() == 3U);
}

// Guards against another order than priority, lateness, arrival and id where
// there are no workspaces, whatever was sent, removed or has become late.
BOOST_AUTO_TEST_CASE(OrderWithoutWorkspacesIgnoresWhatWasSent) {
  struct Expected final {
    std::uint32_t m_Priority;
    Instant m_Arrived;
    Instant m_LateAt;
  };
  std::mt19937 Random(7); // NOLINT(cert-msc51-cpp): repeatable
  const auto Pick = [&Random](int Limit) {
    return static_cast<int>(Random() % static_cast<unsigned>(Limit));
  };
  std::map<std::uint64_t, Expected> Model;
  for (int Step = 1; Step <= 3000; ++Step) {
    const Instant Now = Start + milliseconds(Step);
    const auto Id = static_cast<std::uint64_t>(Step);
    const Expected Added{static_cast<std::uint32_t>(Pick(3)),
                         Now - milliseconds(Pick(40)),
                         Now + milliseconds(Pick(60))};
    Model.emplace(Id, Added);
    add(Id, Added.m_Priority, Added.m_Arrived, Added.m_LateAt);
    m_Queue.advance(Now);
    std::vector<std::uint64_t> Order;
    Order.reserve(Model.size());
    for (const auto &[Each, State] : Model)
      Order.push_back(Each);
    std::ranges::sort(Order, {}, [&](std::uint64_t Each) {
      const Expected &State = Model.at(Each);
      return std::tuple(State.m_Priority, State.m_LateAt <= Now,
                        State.m_Arrived, Each);
    });
    BOOST_REQUIRE((order() == Order));
    if (Pick(100) < 90) {
      Model.erase(send(Model.at(Order.front()).m_Priority, WorkspaceId()));
      continue;
    }
    const std::uint64_t Other = Order[Order.size() / 2];
    m_Queue.remove(RequestId(Other));
    Model.erase(Other);
  }
}

// Load pattern: a workspace has a backlog of 500 statements when another sends
// one now and then. Guards against the second waiting behind the backlog.
BOOST_AUTO_TEST_CASE(BacklogOfOneWorkspaceDelaysItself) {
  for (std::uint64_t Id = 1; Id <= 500; ++Id)
    add(Id, 0, Start, std::nullopt, Large);
  for (int Sent = 0; Sent < 20; ++Sent)
    send(0, Large);
  for (std::uint64_t Id = 1001; Id <= 1005; ++Id) {
    add(Id, 0, Start + milliseconds(1), std::nullopt, Small);
    // At most one statement of the backlog goes first.
    const std::vector<std::uint64_t> Order = order();
    const auto At = std::ranges::find(Order, Id) - Order.begin();
    BOOST_TEST(At <= 1);
    if (At == 1)
      send(0, Large);
    BOOST_TEST(send(0, Small) == Id);
    send(0, Large);
  }
}

BOOST_AUTO_TEST_CASE(WorkspacesAlternate) {
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    add(Id, 0, Start, std::nullopt, Large);
  for (std::uint64_t Id = 11; Id <= 13; ++Id)
    add(Id, 0, Start + milliseconds(1), std::nullopt, Small);
  BOOST_TEST((order() == std::vector<std::uint64_t>{1, 11, 2, 12, 3, 13}));
  FairQueue::Walk Walk = m_Queue.walk();
  BOOST_TEST((Walk.next() == RequestId(1)));
  Walk.skipWorkspace();
  for (const std::uint64_t Id : {11U, 12U, 13U})
    BOOST_TEST((Walk.next() == RequestId(Id)));
  BOOST_TEST((Walk.next() == std::nullopt));
}

// Guards against a workspace that has waited for a missing primary, and is then
// served alone until it has made up for it.
BOOST_AUTO_TEST_CASE(LagOfUnservableWorkspaceIsBounded) {
  for (std::uint64_t Id = 1; Id <= 200; ++Id)
    add(Id, 0, Start, std::nullopt, Small);
  for (std::uint64_t Id = 1001; Id <= 1200; ++Id)
    add(Id, 0, Start, std::nullopt, Large);
  for (std::uint64_t Id = 1001; Id <= 1150; ++Id) {
    m_Queue.charge(Large, 0);
    m_Queue.remove(RequestId(Id));
  }
  int Alone = 0;
  while (send(0, Small) < 1000)
    ++Alone;
  BOOST_TEST(Alone <= 20);
}

// Guards against a walk that misses or repeats statements while those it has
// returned are sent.
BOOST_AUTO_TEST_CASE(WalkReturnsEachStatementOnceWhileSomeAreSent) {
  std::size_t Late = 0;
  for (std::uint64_t Id = 1; Id <= 300; ++Id) {
    const bool IsLate = Id % 7 == 0;
    Late += IsLate ? 1U : 0U;
    add(Id, static_cast<std::uint32_t>(Id % 2), Start,
        IsLate ? std::optional(Start) : std::nullopt,
        WorkspaceId("w" + std::to_string(Id % 11)));
  }
  BOOST_TEST(m_Queue.advance(Start).size() == Late);
  FairQueue::Walk Walk = m_Queue.walk();
  std::set<RequestId> Seen;
  while (const auto Id = Walk.next()) {
    BOOST_TEST(Seen.insert(*Id).second);
    if (Id->value() % 3 == 0)
      continue;
    m_Queue.charge(WorkspaceId("w" + std::to_string(Id->value() % 11)),
                   static_cast<std::uint32_t>(Id->value() % 2));
    m_Queue.remove(*Id);
  }
  BOOST_TEST(Seen.size() == 300U);
  BOOST_TEST(m_Queue.size() == 100U);
  BOOST_TEST(m_Queue.bytes() == 100U);
}

// The statements ahead decide on a refusal, so they must not be overstated.
BOOST_AUTO_TEST_CASE(CountsStatementsAhead) {
  for (std::uint64_t Id = 1; Id <= 50; ++Id)
    add(Id, 1, Start, std::nullopt, Large);
  for (std::uint64_t Id = 101; Id <= 103; ++Id)
    add(Id, 1, Start, std::nullopt, Small);
  add(200, 0, Start);
  m_Queue.add(
      {RequestId(300), Small, 0, Start, std::nullopt, QueueLane::Primary, 1});
  BOOST_TEST(m_Queue.ahead(RequestId(50)) == 1U + 49U + 3U);
  BOOST_TEST(m_Queue.ahead(RequestId(103)) == 1U + 2U + 2U);
  BOOST_TEST(m_Queue.ahead(RequestId(102)) == 1U);
  BOOST_TEST(m_Queue.ahead(RequestId(300)) == 0U);
  BOOST_TEST(m_Queue.size(QueueLane::Primary) == 1U);
  BOOST_TEST(m_Queue.usage(Small).m_Count == 4U);
  BOOST_TEST((m_Queue.last()->m_Priority == 1U));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
