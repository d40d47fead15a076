#include "ragwortmux/Request/CrossDomainPolicy.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ragwortmux::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServerId Near("near");
const ServerId FarA("far-a");

/// Many hosts of two failure domains, each with one server, in steps of a
/// millisecond. The servers have slots and refuse reads without a free one.
struct TwoDomains {
  static constexpr std::size_t HostsPerDomain = 8;
  static constexpr std::uint32_t Slots = 5;
  static constexpr std::uint32_t Connections = 3;
  static constexpr Duration Deadline = milliseconds(500);

  TwoDomains() {
    for (std::size_t Number = 0; Number < 2 * HostsPerDomain; ++Number) {
      CrossDomainSettings Settings;
      Settings.m_IsEnabled = true;
      Settings.m_Seed = Number;
      m_Policies.emplace_back(Settings);
    }
    m_Queues.resize(2 * HostsPerDomain);
  }

  struct Running final {
    std::size_t m_Host;
    ServerId m_Server;
    bool m_IsNear;
    Instant m_Arrived;
    Instant m_SentAt;
  };
  struct Waiting final {
    Instant m_Arrived;
    bool m_HasReason = false;
  };

  /// Runs the load for \p Length: each millisecond each host of a domain gets
  /// a read with the probability in percent.
  void runFor(Duration Length, int FirstPercent, int SecondPercent) {
    m_Sent = m_Left = m_Refused = m_Done = m_GivenUp = 0;
    const Instant End = m_Now + Length;
    for (; m_Now < End; m_Now += milliseconds(1)) {
      while (!m_Frees.empty() && m_Frees.begin()->first <= m_Now) {
        --m_Busy[m_Frees.begin()->second];
        m_Frees.erase(m_Frees.begin());
      }
      while (!m_Ends.empty() && m_Ends.begin()->first <= m_Now) {
        const Running Done = m_Ends.begin()->second;
        m_Ends.erase(m_Ends.begin());
        --m_BusyOf[{Done.m_Host, Done.m_Server}];
        ++m_Done;
        m_Policies[Done.m_Host].statementAnswered(
            m_Now, Done.m_Server, Done.m_IsNear, m_Now - Done.m_SentAt, true,
            false);
        m_Policies[Done.m_Host].replyArrived(m_Now, EntryName("e"),
                                             Done.m_IsNear, 200);
      }
      // Another host is first each time, so that none always gets the slot that
      // has just become free.
      const std::size_t First = random() % (2 * HostsPerDomain);
      for (std::size_t Number = 0; Number < 2 * HostsPerDomain; ++Number) {
        const std::size_t Host = (First + Number) % (2 * HostsPerDomain);
        const auto Percent = static_cast<std::uint32_t>(
            Host < HostsPerDomain ? FirstPercent : SecondPercent);
        if (random() % 100 < Percent) {
          m_Queues[Host].push_back({m_Now});
          m_Policies[Host].firstDecided(m_Now);
        }
        pass(Host);
      }
      for (const CrossDomainPolicy &Policy : m_Policies)
        m_MaxShare = std::max(m_MaxShare, Policy.share());
    }
  }

  void pass(std::size_t Host) {
    CrossDomainPolicy &Policy = m_Policies[Host];
    if (const auto Change = Policy.beginPass(m_Now)) {
      m_Turns += m_Last.contains(Host) && m_Last[Host] != Change->m_Reason;
      m_Last[Host] = Change->m_Reason;
    }
    std::deque<Waiting> &Queue = m_Queues[Host];
    while (!Queue.empty() && m_Now >= Queue.front().m_Arrived + Deadline) {
      Queue.pop_front();
      ++m_GivenUp;
    }
    std::deque<Waiting> Kept;
    for (Waiting &Each : Queue) {
      if (!trySend(Host, Each)) {
        Policy.held();
        Kept.push_back(Each);
      }
    }
    Queue = Kept;
  }

  std::vector<ReadTarget> targets(std::size_t Host) {
    std::vector<ReadTarget> Targets;
    for (const ServerId &Server : {Near, FarA}) {
      ReadTarget Target;
      Target.m_Server = Server;
      Target.m_IsNear = (Server == Near) == (Host < HostsPerDomain);
      Target.m_Running = m_BusyOf[{Host, Server}];
      Target.m_Free = Connections - Target.m_Running;
      Target.m_Slots = Slots;
      const auto Until = m_FullUntil.find({Host, Server});
      Target.m_IsFull = Until != m_FullUntil.end() && m_Now < Until->second;
      Target.m_IsAllowed = !Target.m_IsFull;
      Targets.push_back(Target);
    }
    return Targets;
  }

  bool trySend(std::size_t Host, Waiting &Each) {
    CrossDomainPolicy &Policy = m_Policies[Host];
    CrossDomainRead Read;
    Read.m_Entry = EntryName("e");
    Read.m_Arrived = Each.m_Arrived;
    Read.m_Deadline = Each.m_Arrived + Deadline;
    const std::vector<ReadTarget> Targets = targets(Host);
    CrossDomainVerdict Verdict = Policy.choose(m_Now, Read, Targets);
    if (m_IsOff) {
      Verdict = CrossDomainVerdict();
      Verdict.m_Server = chooseReadTarget(Targets);
      Verdict.m_IsReady = Verdict.m_Server.has_value();
      Verdict.m_IsFar = Verdict.m_IsReady &&
                        (Verdict.m_Server == Near) != (Host < HostsPerDomain);
    }
    if (Verdict.m_HasReason && !std::exchange(Each.m_HasReason, true))
      Policy.reasonFound(m_Now, Read, Verdict);
    if (!Verdict.m_IsReady)
      return false;
    Policy.readSent(m_Now, Read, Verdict);
    const ServerId Server = *Verdict.m_Server;
    Policy.statementSent(m_Now, Server);
    ++m_Sent;
    m_Left += Verdict.m_IsFar ? 1 : 0;
    if (m_Busy[Server] >= Slots) {
      ++m_Refused;
      Policy.statementAnswered(m_Now, Server, !Verdict.m_IsFar,
                               milliseconds(Verdict.m_IsFar ? 8 : 1), false,
                               true);
      m_FullUntil[{Host, Server}] = m_Now + milliseconds(8);
      return false;
    }
    ++m_Busy[Server];
    ++m_BusyOf[{Host, Server}];
    m_Frees.insert({m_Now + milliseconds(5), Server});
    m_Ends.insert({m_Now + milliseconds(Verdict.m_IsFar ? 13 : 5),
                   {Host, Server, !Verdict.m_IsFar, Each.m_Arrived, m_Now}});
    return true;
  }

  std::string summary() const {
    return "sent " + std::to_string(m_Sent) + ", abroad " +
           std::to_string(m_Left) + ", refused " + std::to_string(m_Refused) +
           ", done " + std::to_string(m_Done) + ", given up " +
           std::to_string(m_GivenUp) + ", turns " + std::to_string(m_Turns);
  }

  std::uint32_t random() {
    m_Random = m_Random * 6364136223846793005U + 1442695040888963407U;
    return static_cast<std::uint32_t>(m_Random >> 33U);
  }

  std::vector<CrossDomainPolicy> m_Policies;
  std::vector<std::deque<Waiting>> m_Queues;
  Instant m_Now{seconds(100)};
  std::uint64_t m_Random = 7;
  std::multimap<Instant, ServerId> m_Frees; ///< When slots become free.
  std::multimap<Instant, Running> m_Ends;   ///< When replies arrive.
  std::map<ServerId, std::uint32_t> m_Busy;
  std::map<std::pair<std::size_t, ServerId>, std::uint32_t> m_BusyOf;
  std::map<std::pair<std::size_t, ServerId>, Instant> m_FullUntil;
  std::map<std::size_t, CrossDomainChangeReason> m_Last;
  bool m_IsOff = false; ///< chooseReadTarget() decides.
  int m_Turns = 0;      ///< Changes of direction over all hosts.
  double m_MaxShare = 0;
  int m_Sent = 0;
  int m_Left = 0;
  int m_Refused = 0;
  int m_Done = 0;
  int m_GivenUp = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrossDomainTwoDomainsTest, TwoDomains)

// Guards against two overloaded failure domains that exchange their reads:
// nothing is gained and all bytes cross the link. 8 hosts with 20% get 1.6
// reads a millisecond; a server runs one a millisecond.
BOOST_AUTO_TEST_CASE(BothDomainsTryToLeave) {
  TwoDomains Off;
  Off.m_IsOff = true;
  TwoDomains *const Both[] = {this, &Off};
  for (TwoDomains *Each : Both) {
    Each->runFor(seconds(5), 20, 20);
    Each->runFor(seconds(10), 20, 20);
    BOOST_TEST_MESSAGE(Each->summary());
  }
  BOOST_TEST(m_Left * 100 < m_Sent * 5);
  BOOST_TEST(m_Done * 100 > Off.m_Done * 85);
}

// Guards against unused room: one domain gets 1.4 reads a millisecond, the
// other 0.16.
BOOST_AUTO_TEST_CASE(OneDomainUsesRoomOfOther) {
  TwoDomains Off;
  Off.m_IsOff = true;
  TwoDomains *const Both[] = {this, &Off};
  for (TwoDomains *Each : Both) {
    Each->runFor(seconds(5), 18, 2);
    Each->runFor(seconds(10), 18, 2);
    BOOST_TEST_MESSAGE(Each->summary());
  }
  BOOST_TEST(m_Done * 100 > Off.m_Done * 90);
  BOOST_TEST(m_Left * 100 < Off.m_Left * 70);
  BOOST_TEST(m_MaxShare <= 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
