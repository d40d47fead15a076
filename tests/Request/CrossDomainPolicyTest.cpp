#include "ragwortmux/Request/CrossDomainPolicy.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace ragwortmux::test {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const ServerId Near("near");
const ServerId FarA("far-a");
const ServerId FarB("far-b");

CrossDomainSettings enabled() {
  CrossDomainSettings Settings;
  Settings.m_IsEnabled = true;
  return Settings;
}

/// A policy with a simulated clock and servers that answer each read after a
/// set time. Servers answer in no time of the simulation, so that the load of
/// a run is the same whatever the policy decides.
struct PolicyFixture {
  explicit PolicyFixture(const CrossDomainSettings &Settings = enabled())
      : m_Settings(Settings), m_Policy(Settings) {
    m_Took = {{Near, milliseconds(5)},
              {FarA, milliseconds(8)},
              {FarB, milliseconds(8)}};
    for (const ServerId &Server : {Near, FarA, FarB}) {
      ReadTarget Target;
      Target.m_Server = Server;
      Target.m_IsNear = Server == Near;
      Target.m_IsAllowed = true;
      Target.m_Free = 2;
      Target.m_Slots = 5;
      m_Targets.push_back(Target);
    }
  }

  ReadTarget &target(const ServerId &Server) {
    for (ReadTarget &Each : m_Targets) {
      if (Each.m_Server == Server)
        return Each;
    }
    BOOST_REQUIRE(false);
    return m_Targets.front();
  }

  CrossDomainRead read(std::uint32_t Priority = 0) const {
    CrossDomainRead Read;
    Read.m_Entry = EntryName("e");
    Read.m_Priority = Priority;
    Read.m_Arrived = m_Now;
    Read.m_Deadline = m_Now + seconds(3);
    return Read;
  }

  /// Decides on a new read, and sends and answers it if a connection is free.
  CrossDomainVerdict run(std::uint32_t Priority = 0) {
    if (const auto Change = m_Policy.beginPass(m_Now)) {
      m_Changes.push_back(*Change);
      m_ChangedAt.push_back(m_Now);
    }
    const CrossDomainRead Read = read(Priority);
    m_Policy.firstDecided(m_Now);
    CrossDomainVerdict Verdict = m_Policy.choose(m_Now, Read, m_Targets);
    if (Verdict.m_HasReason) {
      m_Policy.reasonFound(m_Now, Read, Verdict);
      m_LastReasonAt = m_Now;
    }
    ++m_Decided[Priority];
    if (!Verdict.m_IsReady) {
      m_Policy.held();
      return Verdict;
    }
    m_Left[Priority] += Verdict.m_IsFar ? 1 : 0;
    m_Policy.readSent(m_Now, Read, Verdict);
    const ServerId Server = *Verdict.m_Server;
    const bool IsRefused = m_IsRefusing && m_IsRefusing(Server);
    m_Policy.statementSent(m_Now, Server);
    m_Policy.statementAnswered(m_Now, Server, Server == Near,
                               IsRefused ? milliseconds(1) : m_Took.at(Server),
                               !IsRefused, IsRefused);
    if (!IsRefused)
      m_Policy.replyArrived(m_Now, Read.m_Entry, Server == Near, m_Bytes);
    return Verdict;
  }

  /// Runs a read each \p Interval, with the priorities in turn.
  void runFor(Duration Length, Duration Interval = milliseconds(5),
              const std::vector<std::uint32_t> &Priorities = {0}) {
    m_Left.clear();
    m_Decided.clear();
    const Instant End = m_Now + Length;
    for (std::size_t Number = 0; m_Now < End; ++Number) {
      run(Priorities[Number % Priorities.size()]);
      m_Now += Interval;
    }
  }
  int left(std::uint32_t Priority = 0) { return m_Left[Priority]; }
  double leftShare(std::uint32_t Priority = 0) {
    return static_cast<double>(m_Left[Priority]) / m_Decided[Priority];
  }

  CrossDomainSettings m_Settings;
  CrossDomainPolicy m_Policy;
  Instant m_Now{seconds(100)};
  std::vector<ReadTarget> m_Targets;
  std::map<ServerId, Duration> m_Took; ///< Response time of each server.
  std::function<bool(const ServerId &Server)>
      m_IsRefusing; ///< True if a server has no free slot.
  std::uint64_t m_Bytes = 100;
  std::vector<CrossDomainChange> m_Changes;
  std::vector<Instant> m_ChangedAt;
  Instant m_LastReasonAt; ///< When a read last had a reason to leave.
  std::map<std::uint32_t, int> m_Left;    ///< Reads that left, by priority.
  std::map<std::uint32_t, int> m_Decided; ///< All reads, by priority.
};

/// The near server refuses almost all reads for lack of a slot.
struct FullFixture : PolicyFixture {
  FullFixture() {
    runFor(seconds(2));
    m_IsRefusing = [](const ServerId &Server) { return Server == Near; };
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrossDomainPolicyTest, PolicyFixture)

// Guards against bytes between failure domains without any gain.
BOOST_AUTO_TEST_CASE(NoReadLeavesWhileNearServerIsFine) {
  runFor(seconds(5));
  BOOST_TEST(left() == 0);
  BOOST_TEST(m_Changes.empty());
}

// Guards against reads that queue at a slow server while others have room, and
// against a share that jumps instead of growing in steps.
BOOST_AUTO_TEST_CASE(ReadsLeaveSlowServerInSteps) {
  runFor(seconds(2));
  m_Took[Near] = milliseconds(60);
  runFor(seconds(4));
  BOOST_TEST(left() > 0);
  BOOST_TEST_REQUIRE(!m_Changes.empty());
  for (const CrossDomainChange &Change : m_Changes) {
    BOOST_TEST((Change.m_Reason == CrossDomainChangeReason::NearSlower));
    BOOST_TEST(Change.m_Share - Change.m_Before <=
               m_Settings.m_ShareStep + 1e-9);
  }
  for (std::size_t Number = 1; Number < m_ChangedAt.size(); ++Number)
    BOOST_TEST((m_ChangedAt[Number] - m_ChangedAt[Number - 1] >=
                m_Settings.m_StepInterval));
  BOOST_TEST(m_Policy.share() == 0.5, boost::test_tools::tolerance(1e-6));
  runFor(seconds(2));
  BOOST_TEST(leftShare() > 0.4);
  BOOST_TEST(leftShare() < 0.55); // max_share_percent
}

// Guards against reads that stay at a full server, and against reads without a
// limit on their share.
BOOST_FIXTURE_TEST_CASE(ReadsLeaveFullServer, FullFixture) {
  runFor(seconds(4));
  runFor(seconds(2));
  BOOST_TEST(leftShare() > 0.4);
  BOOST_TEST(leftShare() < 0.55);
}

// Guards against a read that leaves for less than its bytes are worth: 20 ms
// are saved, and 30 KB cost 30 ms.
BOOST_AUTO_TEST_CASE(LargeReadsStay) {
  m_Bytes = std::uint64_t{30} * 1024;
  runFor(seconds(2));
  m_Took[Near] = milliseconds(28);
  runFor(seconds(3));
  BOOST_TEST(left() == 0);
  BOOST_TEST((run().m_Reason == CrossDomainReason::BelowPrice));
}

// Guards against a link that reads from other failure domains fill: 200 reads
// of 2 KB a second would be 400 KB.
BOOST_AUTO_TEST_CASE(BytesPerSecondAreLimited) {
  m_Bytes = std::uint64_t{2} * 1024;
  runFor(seconds(2));
  m_Took[Near] = milliseconds(200);
  runFor(seconds(4));
  const std::uint64_t Before = m_Policy.counts().m_FarBytes;
  runFor(seconds(4));
  const std::uint64_t PerSecond =
      (m_Policy.counts().m_FarBytes - Before) / 4 / 1024;
  BOOST_TEST(PerSecond > 40U);
  BOOST_TEST(PerSecond <= m_Settings.m_MaxKbPerSecond * 11 / 10);
}

// Guards against a host that takes all slots of a foreign server: 40% of 5 are
// 2, of which the last is kept for the highest priority.
BOOST_AUTO_TEST_CASE(RoomAbroadIsLimited) {
  runFor(seconds(2));
  m_Took[Near] = milliseconds(200);
  runFor(seconds(3), milliseconds(5), {0, 2});
  for (const std::uint32_t Running : {0U, 1U, 2U}) {
    target(FarA).m_Running = Running;
    target(FarB).m_Running = Running;
    CrossDomainRead Read = read();
    Read.m_LateAt = m_Now + milliseconds(100);
    BOOST_TEST(m_Policy.choose(m_Now, Read, m_Targets).m_IsFar ==
               (Running < 2));
    Read.m_Priority = 2;
    BOOST_TEST(m_Policy.choose(m_Now, Read, m_Targets).m_IsFar ==
               (Running < 1));
  }
}

// Guards against a lower priority that takes the share of a higher one. With
// reads of both, all that leave are of the higher priority.
BOOST_AUTO_TEST_CASE(HigherPriorityLeavesFirst) {
  runFor(seconds(2), milliseconds(5), {0, 2});
  m_Took[Near] = milliseconds(60);
  runFor(seconds(3), milliseconds(5), {0, 0, 0, 2});
  runFor(seconds(2), milliseconds(5), {0, 0, 0, 2});
  BOOST_TEST(leftShare(0) > 0.5);
  BOOST_TEST(leftShare(2) == 0);
}

// Guards against traffic that stays abroad after the near server has recovered,
// and against a return before that has lasted for a second.
BOOST_AUTO_TEST_CASE(ReadsReturnHome) {
  runFor(seconds(2));
  m_Took[Near] = milliseconds(60);
  runFor(seconds(4));
  BOOST_TEST(m_Policy.share() > 0.4);
  m_Took[Near] = milliseconds(5);
  const std::size_t Before = m_Changes.size();
  runFor(seconds(5));
  BOOST_TEST(m_Policy.share() == 0);
  BOOST_TEST_REQUIRE(m_Changes.size() > Before);
  BOOST_TEST(
      (m_ChangedAt[Before] >= m_LastReasonAt + m_Settings.m_ReturnAfter));
  BOOST_TEST_REQUIRE(!m_Changes.empty());
  BOOST_TEST((m_Changes.back().m_Reason == CrossDomainChangeReason::NearFine));
  runFor(seconds(2));
  BOOST_TEST(left() == 0);
}

// Guards against writes that a full foreign primary refuses: they do not say
// that reads find no room abroad.
BOOST_FIXTURE_TEST_CASE(RefusedWritesDoNotKeepReadsHome, FullFixture) {
  runFor(seconds(3));
  const double Before = m_Policy.share();
  for (int Write = 0; Write < 100; ++Write)
    m_Policy.statementAnswered(m_Now, ServerId("primary"), false, Duration(0),
                               false, true, false);
  runFor(milliseconds(500));
  BOOST_TEST(m_Policy.share() >= Before);
}

// Guards against a foreign server that is flooded: it refuses all reads from
// abroad, so the share shrinks at once and grows less and less often.
BOOST_FIXTURE_TEST_CASE(ReadsReturnWhenForeignServersFillUp, FullFixture) {
  runFor(seconds(3));
  BOOST_TEST(m_Policy.share() > 0.4);
  m_IsRefusing = [](const ServerId &) { return true; };
  const std::size_t Before = m_Changes.size();
  runFor(milliseconds(500));
  BOOST_TEST_REQUIRE(m_Changes.size() > Before);
  BOOST_TEST(
      (m_Changes[Before].m_Reason == CrossDomainChangeReason::FarRefuses));
  runFor(seconds(2));
  BOOST_TEST(m_Policy.share() < 0.2);
  runFor(seconds(20));
  BOOST_TEST(leftShare() < 0.05);
}

// Guards against reads that follow each other into a link that has been cut:
// the foreign servers no longer answer.
BOOST_AUTO_TEST_CASE(ReadsStayWhenForeignServersGoSilent) {
  runFor(seconds(2));
  m_Took[Near] = milliseconds(60);
  runFor(seconds(4));
  for (const ServerId &Server : {FarA, FarA, FarB, FarB})
    m_Policy.statementSent(m_Now, Server);
  m_Now += milliseconds(60);
  for (int Number = 0; Number < 20; ++Number) {
    const CrossDomainVerdict Verdict =
        m_Policy.choose(m_Now, read(), m_Targets);
    BOOST_TEST(!Verdict.m_IsFar);
    m_Now += milliseconds(20);
  }
  BOOST_TEST((m_Policy.choose(m_Now, read(), m_Targets).m_Reason ==
              CrossDomainReason::NoForeign));
}

// Guards against reads that wait for a silent server until their deadline, and
// against a single long statement that is taken for silence.
BOOST_AUTO_TEST_CASE(ReadsLeaveSilentServer) {
  runFor(seconds(2));
  m_Policy.statementSent(m_Now, Near);
  m_Now += m_Settings.m_StalledAfter;
  BOOST_TEST(!m_Policy.choose(m_Now, read(), m_Targets).m_IsFar);
  m_Policy.statementSent(m_Now, Near);
  BOOST_TEST(!m_Policy.choose(m_Now, read(), m_Targets).m_IsFar);
  m_Now += m_Settings.m_StalledAfter;
  const CrossDomainVerdict Verdict = m_Policy.choose(m_Now, read(), m_Targets);
  BOOST_TEST((Verdict.m_Reason == CrossDomainReason::NotServedNear));
  BOOST_TEST(Verdict.m_IsFar);
}

// Guards against limits that leave reads unserved when the failure domain has
// no server that may run them.
BOOST_AUTO_TEST_CASE(UnservedReadsAlwaysLeave) {
  target(Near).m_IsAllowed = false;
  m_Bytes = std::uint64_t{100} * 1024;
  for (const ServerId &Server : {FarA, FarB})
    target(Server).m_Running = 4;
  runFor(seconds(2));
  BOOST_TEST(leftShare() == 1);
}

// Guards against a read that misses its target at home because the share is
// used up; one that is late in both places stays.
BOOST_AUTO_TEST_CASE(UrgentReadsLeave) {
  runFor(seconds(2));
  m_Took[Near] = milliseconds(200);
  runFor(milliseconds(150)); // before the first step
  BOOST_TEST(m_Policy.share() == 0);
  CrossDomainRead Read = read();
  Read.m_LateAt = m_Now + milliseconds(15);
  BOOST_TEST((m_Policy.choose(m_Now, Read, m_Targets).m_Reason ==
              CrossDomainReason::WouldBeLate));
  Read.m_LateAt = m_Now + milliseconds(2);
  BOOST_TEST(!m_Policy.choose(m_Now, Read, m_Targets).m_IsFar);
}

// Guards against a decision that flaps: the near server's time is such that the
// gain is about the price, with noise around it.
BOOST_AUTO_TEST_CASE(DecisionDoesNotFlap) {
  runFor(seconds(2));
  std::uint32_t Noise = 1;
  const Instant End = m_Now + seconds(30);
  while (m_Now < End) {
    Noise = Noise * 1103515245U + 12345U;
    m_Took[Near] = milliseconds(9) + microseconds((Noise >> 16U) % 4000);
    runFor(milliseconds(20));
  }
  int Turns = 0;
  for (std::size_t Number = 1; Number < m_Changes.size(); ++Number)
    Turns +=
        m_Changes[Number].m_Reason != m_Changes[Number - 1].m_Reason ? 1 : 0;
  BOOST_TEST(Turns <= 6);
}

// Guards against a workspace whose only free connection is abroad and which
// therefore keeps going there while the near server is fine.
BOOST_AUTO_TEST_CASE(WorkspaceGetsNearConnection) {
  runFor(seconds(2));
  m_Took[Near] = milliseconds(25);
  runFor(seconds(3));
  m_Took[Near] = milliseconds(5);
  // The near server is fine again, and the share is not 0 yet.
  runFor(milliseconds(2700));
  BOOST_TEST(m_Policy.share() > 0);
  target(Near).m_Free = 0;
  target(Near).m_CanOpen = true;
  CrossDomainRead Read = read();
  Read.m_Workspace = WorkspaceId("w");
  for (int Number = 0; Number < 20; ++Number)
    m_Policy.firstDecided(m_Now);
  int Left = 0;
  for (; Left < 20; ++Left) {
    const CrossDomainVerdict Verdict = m_Policy.choose(m_Now, Read, m_Targets);
    if (!Verdict.m_IsFar) {
      BOOST_TEST((Verdict.m_Server == Near));
      BOOST_TEST((Verdict.m_Reason == CrossDomainReason::BelowPrice));
      break;
    }
    m_Policy.readSent(m_Now, Read, Verdict);
    for (int Number = 0; Number < 20; ++Number)
      m_Policy.firstDecided(m_Now); // so that the share is not used up
  }
  BOOST_TEST(Left > 0);
  BOOST_TEST(Left < 10);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
