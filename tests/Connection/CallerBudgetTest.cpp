#include "ragwortmux/Connection/CallerBudget.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace ragwortmux;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Kib = 1024;

CallerBudgetSettings settings() {
  CallerBudgetSettings Settings;
  Settings.m_ProcessBytes = 1000 * Kib;
  Settings.m_ConnectionBytes = 400 * Kib;
  Settings.m_WorkspaceBytes = 500 * Kib;
  Settings.m_MaxPipelined = 4;
  Settings.m_MaxStarting = 2;
  Settings.m_Grace = 5s;
  Settings.m_MessageTimeout = 10s;
  Settings.m_AnswerTimeout = 20s;
  return Settings;
}

CallerUsage started(std::size_t Input = 0, std::size_t Output = 0) {
  CallerUsage Usage;
  Usage.m_HasStarted = true;
  Usage.m_InputBytes = Input;
  Usage.m_OutputBytes = Output;
  return Usage;
}

CallerUsage partial(std::size_t Input) {
  CallerUsage Usage = started(Input);
  Usage.m_HasPartialMessage = true;
  return Usage;
}

struct Fixture {
  /// Adds callers 1 to \p Count that have started.
  void addStarted(std::uint64_t Count) {
    for (std::uint64_t Id = 1; Id <= Count; ++Id) {
      m_Budget.add(CallerConnectionId(Id), m_Now);
      update(Id, started());
    }
  }
  void update(std::uint64_t Id, const CallerUsage &Usage) {
    m_Budget.update(CallerConnectionId(Id), Usage, m_Now);
  }
  std::optional<CallerLimit> mayRead(std::uint64_t Id) {
    return m_Budget.mayRead(CallerConnectionId(Id), m_Now);
  }
  std::vector<std::uint64_t> readable() {
    std::vector<std::uint64_t> Ids;
    for (const CallerConnectionId Id : m_Budget.takeReadable(m_Now))
      Ids.push_back(Id.value());
    return Ids;
  }
  /// Ids of the callers to close because of \p Limit.
  std::vector<std::uint64_t> expired(CallerLimit Limit) {
    std::vector<std::uint64_t> Ids;
    for (const CallerToClose &Closed : m_Budget.takeExpired(m_Now))
      if (Closed.m_Limit == Limit)
        Ids.push_back(Closed.m_Caller.value());
    return Ids;
  }

  Instant m_Now = Instant(Duration(1s));
  CallerBudget m_Budget{settings()};
};

using Ids = std::vector<std::uint64_t>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerBudgetTest, Fixture)

// Guards against a caller that holds more than its share of the memory.
BOOST_AUTO_TEST_CASE(CallerAboveItsBytesIsPausedUntilItHoldsLess) {
  addStarted(2);
  update(1, started(300 * Kib, 100 * Kib));
  BOOST_TEST((mayRead(1) == CallerLimit::ConnectionBytes));
  BOOST_TEST((mayRead(2) == std::nullopt));
  BOOST_TEST(readable().empty());
  update(1, started(300 * Kib, 99 * Kib));
  BOOST_TEST(readable() == Ids{1});
  BOOST_TEST(readable().empty());
}

// Guards against statements sent ahead without end.
BOOST_AUTO_TEST_CASE(CallerWithTooManyStatementsIsPaused) {
  addStarted(1);
  CallerUsage Usage = started(100);
  Usage.m_Statements = 4;
  update(1, Usage);
  BOOST_TEST((mayRead(1) == CallerLimit::Pipelined));
  Usage.m_Statements = 3;
  update(1, Usage);
  BOOST_TEST(readable() == Ids{1});
}

// Guards against large messages of a few callers that keep small ones out.
BOOST_AUTO_TEST_CASE(PressurePausesOnlyCallersThatHoldMuch) {
  addStarted(5);
  for (const std::uint64_t Id : {1U, 2U, 3U})
    update(Id, started(250 * Kib));
  BOOST_TEST(m_Budget.isUnderPressure());
  BOOST_TEST((mayRead(1) == CallerLimit::ProcessBytes));
  update(4, started(10 * Kib));
  BOOST_TEST((mayRead(4) == std::nullopt));
  // The whole budget is used up.
  update(5, started(250 * Kib));
  BOOST_TEST((mayRead(4) == CallerLimit::ProcessBytes));
}

// Guards against half-read messages of well-behaved callers that block each
// other.
BOOST_AUTO_TEST_CASE(OneCallerMayCompleteItsMessageUnderPressure) {
  addStarted(4);
  for (const std::uint64_t Id : {1U, 2U, 3U, 4U})
    update(Id, partial(240 * Kib));
  BOOST_TEST((mayRead(2) == std::nullopt));
  BOOST_TEST((mayRead(1) == CallerLimit::ProcessBytes));
  BOOST_TEST((mayRead(2) == std::nullopt));
  BOOST_TEST(readable().empty());
  // The message is complete; the next caller may go on.
  update(2, started(240 * Kib));
  BOOST_TEST(readable() == Ids{1});
  // The same after the end of the connection of such a caller.
  BOOST_TEST((mayRead(3) == CallerLimit::ProcessBytes));
  m_Budget.remove(CallerConnectionId(1), m_Now);
  update(4, partial(300 * Kib));
  BOOST_TEST(m_Budget.isUnderPressure());
  BOOST_TEST(readable() == Ids{3});
}

// Guards against messages that are completed one after the other while none of
// their statements ends.
BOOST_AUTO_TEST_CASE(NoMessageIsCompletedAtTheWholeBudget) {
  addStarted(4);
  for (const std::uint64_t Id : {1U, 2U, 3U, 4U})
    update(Id, partial(250 * Kib));
  BOOST_TEST((mayRead(1) == CallerLimit::ProcessBytes));
  m_Budget.remove(CallerConnectionId(4), m_Now);
  BOOST_TEST(readable() == Ids{1});
}

// Guards against a workspace that uses up the memory of the others.
BOOST_AUTO_TEST_CASE(WorkspaceAboveItsBytesIsPaused) {
  addStarted(4);
  CallerUsage Usage = started(250 * Kib);
  Usage.m_Workspace = WorkspaceId("large");
  update(1, Usage);
  update(2, Usage);
  BOOST_TEST((mayRead(1) == CallerLimit::WorkspaceBytes));
  Usage.m_InputBytes = 20 * Kib;
  Usage.m_Workspace = WorkspaceId("small");
  update(3, Usage);
  BOOST_TEST((mayRead(3) == std::nullopt));
  update(4, started(20 * Kib));
  BOOST_TEST((mayRead(4) == std::nullopt));
  m_Budget.remove(CallerConnectionId(2), m_Now);
  BOOST_TEST(readable() == Ids{1});
}

// Guards against clients that hold the memory and stop: the largest go first,
// no more than necessary.
BOOST_AUTO_TEST_CASE(LargestCallersAreClosedAfterTheGraceTime) {
  addStarted(4);
  update(1, started(100 * Kib));
  update(2, started(350 * Kib));
  update(3, started(200 * Kib));
  update(4, started(300 * Kib));
  m_Now += 4s;
  BOOST_TEST(expired(CallerLimit::LargestClosed).empty());
  m_Now += 1s;
  BOOST_TEST(expired(CallerLimit::LargestClosed) == Ids{2});
  // Without pressure in between, the grace time begins again.
  m_Budget.remove(CallerConnectionId(2), m_Now);
  update(1, started(300 * Kib));
  BOOST_TEST(m_Budget.isUnderPressure());
  BOOST_TEST(expired(CallerLimit::LargestClosed).empty());
}

// Guards against many callers that each hold little and use up the budget.
BOOST_AUTO_TEST_CASE(SmallCallersAreClosedIfTheyUseUpTheBudget) {
  addStarted(100);
  for (std::uint64_t Id = 1; Id <= 100; ++Id)
    update(Id, started(10 * Kib));
  m_Now += 6s;
  BOOST_TEST(expired(CallerLimit::LargestClosed).size() == 26U);
}

// Guards against messages that are sent a byte at a time, or never finished.
BOOST_AUTO_TEST_CASE(MessageThatDoesNotArriveInTimeClosesItsCaller) {
  addStarted(2);
  update(1, partial(1));
  m_Now += 9s;
  update(1, partial(2));
  update(2, partial(1));
  m_Now += 2s;
  BOOST_TEST(expired(CallerLimit::MessageTime) == Ids{1});
  // A complete message starts the time of the next one.
  CallerUsage Usage = partial(1);
  Usage.m_MessagesRead = 1;
  update(1, Usage);
  BOOST_TEST(expired(CallerLimit::MessageTime).empty());
}

// Guards against a time limit that counts while the process does not read.
BOOST_AUTO_TEST_CASE(MessageTimeDoesNotCountWhilePaused) {
  addStarted(4);
  for (const std::uint64_t Id : {1U, 2U, 3U, 4U})
    update(Id, partial(240 * Kib));
  BOOST_TEST((mayRead(1) == std::nullopt));
  BOOST_TEST((mayRead(2) == CallerLimit::ProcessBytes));
  m_Now += 11s;
  const auto Late = expired(CallerLimit::MessageTime);
  BOOST_TEST(std::ranges::count(Late, 1U) == 1);
  BOOST_TEST(std::ranges::count(Late, 2U) == 0);
  m_Budget.remove(CallerConnectionId(1), m_Now);
  BOOST_TEST(readable() == Ids{2});
  m_Now += 9s;
  BOOST_TEST(std::ranges::count(expired(CallerLimit::MessageTime), 2U) == 0);
}

// Guards against clients that do not read their answers, or read them a byte at
// a time.
BOOST_AUTO_TEST_CASE(AnswerThatIsNotReadInTimeClosesItsCaller) {
  addStarted(2);
  update(1, started(0, 100));
  update(2, started(0, 100));
  m_Now += 19s;
  CallerUsage Progress = started(0, 100);
  Progress.m_WritesDone = 1;
  update(2, Progress);
  m_Now += 2s;
  BOOST_TEST(expired(CallerLimit::AnswerTime) == Ids{1});
}

// Guards against connections that never start up, and against a limit that many
// clients reach which connect at the same time.
BOOST_AUTO_TEST_CASE(OldestOfTooManyStartingCallersAreClosed) {
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    m_Budget.add(CallerConnectionId(Id), m_Now);
  BOOST_TEST(expired(CallerLimit::Starting).empty());
  m_Now += 2s;
  m_Budget.add(CallerConnectionId(5), m_Now);
  update(2, started());
  BOOST_TEST(m_Budget.starting() == 4U);
  BOOST_TEST(expired(CallerLimit::Starting) == (Ids{1, 3}));
  m_Now += 9s;
  BOOST_TEST(expired(CallerLimit::MessageTime) == (Ids{1, 3, 4}));
}

// Guards against sums that drift from what the callers hold.
BOOST_AUTO_TEST_CASE(SumsMatchCallersInRandomRuns) {
  std::mt19937_64 Random(20261206);
  std::map<std::uint64_t, std::size_t> Held;
  for (unsigned Step = 0; Step < 20000; ++Step) {
    const std::uint64_t Id = 1 + Random() % 40;
    if (!Held.contains(Id)) {
      m_Budget.add(CallerConnectionId(Id), m_Now);
      Held[Id] = 0;
    } else if (Random() % 10 == 0) {
      m_Budget.remove(CallerConnectionId(Id), m_Now);
      Held.erase(Id);
    } else {
      CallerUsage Usage = started(Random() % (50 * Kib), Random() % Kib);
      Usage.m_HasPartialMessage = Random() % 2 == 0;
      Usage.m_Workspace =
          WorkspaceId(std::string(1, static_cast<char>('a' + Random() % 3)));
      update(Id, Usage);
      Held[Id] = Usage.bytes();
    }
    static_cast<void>(mayRead(1 + Random() % 40));
    readable();
    std::size_t Sum = 0;
    for (const auto &[Caller, Bytes] : Held)
      Sum += Bytes;
    BOOST_REQUIRE(m_Budget.bytes() == Sum);
    m_Now += 1ms;
  }
}

BOOST_AUTO_TEST_SUITE_END()
