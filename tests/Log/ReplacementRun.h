#ifndef TESTS_LOG_REPLACEMENTRUN_H
#define TESTS_LOG_REPLACEMENTRUN_H

#include "ragwortmux/Process/Log/MembershipChange.h"
#include "tests/Log/LogNetwork.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragwortmux {

/// Rules that a ReplacementRun follows. Tests take one out to show that the
/// schedules need it.
struct ReplacementRules final {
  bool m_HandsOver = true;   ///< A host that is told to end hands over its
                             ///< vote before it does.
  bool m_SpareVoters = true; ///< Hosts beyond the least number vote.
  bool m_CountsWithoutReplaced = true; ///< VoterQuorum knows of lost disks.
};

/// Which hosts may end without notice in a schedule.
enum class SuddenRemovals : std::uint8_t {
  Bounded, ///< Two within AdaptTime, or one if a disk is lost.
  Any,     ///< Any number.
};

/// One generated schedule: hosts of the log are replaced by new ones, told to
/// end or without notice, and one host loses its disk meanwhile.
///
/// What the schedules hold to, and what must survive, is written down in
/// docs/design/replacing-control-hosts.md. A run fails if an entry that was
/// applied anywhere is lost, or if no leader commits a new entry in time.
class ReplacementRun final {
public:
  ReplacementRun(std::uint64_t Seed, ReplacementRules Rules,
                 SuddenRemovals Sudden = SuddenRemovals::Bounded)
      : m_Rules(Rules), m_Sudden(Sudden),
        m_Network(Seed, OldHosts + MaxSuccessors, faultyNetwork()),
        m_Knowledge(OldHosts + MaxSuccessors) {
    for (std::size_t Number = OldHosts; Number < m_Network.hosts().size();
         ++Number) {
      m_Network.crash(host(Number), true);
      m_Network.replaceDisk(host(Number));
    }
    m_Network.bootstrap(OldHosts);
    m_Network.forbidOverlappingLeaders();
  }

  /// Performs the run. Returns the first violation, if any.
  std::optional<std::string> run() {
    schedulePlan();
    generateLoad();
    for (std::size_t Number = 0; Number < m_Network.hosts().size(); ++Number)
      identifyPeers(Number);
    m_Network.run(m_EventsEnd - m_Network.now() + CatchUp);
    const LogIndex Goal = m_Network.checks().newestCommitted();
    const bool Works = m_Network.run(Recovery, [&] {
      const LogNetwork::Host *Leader = m_Network.leader();
      return Leader != nullptr && Leader->m_State.m_Index > Goal;
    });
    if (!Works)
      m_Network.checks().fail("no leader commits entries after " + m_Plan);
    return m_Network.checks().failure();
  }

  const std::string &plan() const { return m_Plan; } ///< What was scheduled.

private:
  static constexpr std::size_t OldHosts = 3;
  static constexpr std::size_t MaxSuccessors = 3;
  static constexpr VoterTarget Voters{3, 5};
  /// A new host, and one that has lost its disk, counts after this time.
  static constexpr Duration CatchUp = std::chrono::seconds(4);
  /// Time after which the log must work again.
  static constexpr Duration Recovery = std::chrono::seconds(12);
  static constexpr Duration IdentifyInterval = std::chrono::milliseconds(500);
  static constexpr Duration PeerLostTimeout = std::chrono::seconds(3);
  static constexpr Duration LeaveCheckInterval = std::chrono::milliseconds(100);
  static constexpr Duration LeaveTimeout = std::chrono::milliseconds(4500);
  /// Hosts that end without notice this close together count as one event.
  static constexpr Duration AdaptTime = std::chrono::seconds(5);

  /// What a host knows of another one.
  struct Answer final {
    VoterId m_Voter;          ///< Voter id that it reported.
    Instant m_AskedAt;        ///< When it was asked.
    Instant m_AnsweredAt;     ///< When the answer came.
    bool m_IsLeaving = false; ///< It waits to be removed.
  };

  /// What a host knows of all hosts.
  struct Knowledge final {
    std::map<std::size_t, Answer> m_Answers; ///< By host.
    ReplacedMembers m_Replaced;              ///< Members with lost disks.
    std::uint64_t m_CrashCount = 0; ///< Crashes of the host when it began.
  };

  static LogNetworkSettings faultyNetwork() {
    LogNetworkSettings Settings;
    Settings.m_LostPerMille = 5;
    Settings.m_MinDelay = std::chrono::milliseconds(1);
    Settings.m_MaxDelay = std::chrono::milliseconds(10);
    Settings.m_MaxSyncTime = std::chrono::milliseconds(5);
    return Settings;
  }

  LogNetwork::Host &host(std::size_t Number) {
    return m_Network.hosts()[Number];
  }

  Duration randomDuration(Duration Most) {
    return Duration(static_cast<Duration::rep>(
        m_Network.random(static_cast<std::uint64_t>(Most.count()) + 1)));
  }

  bool chance(std::uint64_t OneIn) { return m_Network.random(OneIn) == 0; }

  /// Pause between two events: none, short or long.
  Duration randomGap() {
    constexpr Duration Gaps[] = {Duration(0), std::chrono::milliseconds(300),
                                 std::chrono::seconds(3),
                                 std::chrono::seconds(6)};
    return randomDuration(Gaps[m_Network.random(4)]);
  }

  void at(Instant When, const std::string &What, std::function<void()> Task) {
    m_Plan +=
        " " + What + "@" +
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           When.time_since_epoch())
                           .count());
    m_EventsEnd = std::max(m_EventsEnd, When);
    m_Network.schedule(When - m_Network.now(), std::move(Task));
  }

  /// Draws who is replaced by whom and when, and which disk is lost.
  void schedulePlan() {
    const std::size_t Count = 1 + m_Network.random(MaxSuccessors);
    const bool LosesDisk = !chance(3);
    Instant LastStart = m_Network.now() + std::chrono::seconds(3);
    for (std::size_t Each = 0; Each < Count; ++Each) {
      if (Each > 0)
        LastStart += randomGap();
      const std::size_t Number = OldHosts + Each;
      at(LastStart, "start" + std::to_string(Number),
         [this, Number] { m_Network.start(host(Number)); });
    }
    Instant When = LastStart + CatchUp;
    std::vector<Instant> Unannounced;
    for (std::size_t Each = 0; Each < Count; ++Each) {
      When += randomGap();
      const std::size_t Near = countNear(Unannounced, When);
      const bool MayBeUnannounced =
          m_Sudden == SuddenRemovals::Any || Near < (LosesDisk ? 1 : 2);
      const bool IsAnnounced = !MayBeUnannounced || chance(2);
      if (!IsAnnounced)
        Unannounced.push_back(When);
      at(When, IsAnnounced ? "term" : "remove",
         [this, IsAnnounced] { replaceOne(IsAnnounced); });
    }
    if (LosesDisk) {
      const Instant First = LastStart + CatchUp;
      const Instant LostAt = First + randomDuration(When - First + AdaptTime);
      const Instant LostNearby = chance(2) ? When + randomGap() / 4 : LostAt;
      at(LostNearby, "lose", [this] { loseDisk(); });
    }
  }

  static std::size_t countNear(const std::vector<Instant> &Times,
                               Instant When) {
    return static_cast<std::size_t>(std::ranges::count_if(
        Times, [&](Instant Each) { return When - Each < AdaptTime; }));
  }

  /// Ends one of the first hosts for good; in every second run the leader.
  void replaceOne(bool IsAnnounced) {
    std::vector<std::size_t> Candidates;
    for (std::size_t Number = 0; Number < OldHosts; ++Number)
      if (!m_IsLeavingOrGone[Number])
        Candidates.push_back(Number);
    const LogNetwork::Host *Leader = m_Network.leader();
    std::size_t Victim = Candidates[m_Network.random(Candidates.size())];
    if (Leader != nullptr && chance(2) &&
        std::ranges::count(Candidates, Leader->m_Number) > 0)
      Victim = Leader->m_Number;
    m_IsLeavingOrGone[Victim] = true;
    m_Plan += (IsAnnounced ? " T" : " R") + std::to_string(Victim);
    if (!IsAnnounced || !m_Rules.m_HandsOver) {
      m_Network.crash(host(Victim), true);
      return;
    }
    m_IsLeaving[Victim] = true;
    awaitRemoval(Victim, m_Network.now() + LeaveTimeout);
  }

  void awaitRemoval(std::size_t Number, Instant Until) {
    LogNetwork::Host &Node = host(Number);
    if (!Node.isUp())
      return;
    const bool ShouldAwait =
        Node.isChangingMembership() ||
        shouldAwaitRemoval(Node.m_Log->membership(), Node.m_Id, Voters);
    if (!ShouldAwait || m_Network.now() >= Until || isRemoved(Node)) {
      m_Network.crash(Node, true);
      return;
    }
    identify(Number);
    m_Network.schedule(LeaveCheckInterval,
                       [this, Number, Until] { awaitRemoval(Number, Until); });
  }

  /// True if another host has a newer committed configuration without \p Node.
  bool isRemoved(const LogNetwork::Host &Node) {
    const LogIndex Own = Node.m_Log->log().membershipIndex();
    return std::ranges::any_of(
        m_Network.hosts(), [&](const LogNetwork::Host &Other) {
          return Other.isUp() && !Other.isChangingMembership() &&
                 Other.m_Log->log().membershipIndex() > Own &&
                 Other.m_Log->membership().find(Node.m_Id) == nullptr;
        });
  }

  /// Any host that remains loses its disk; in every second run the leader.
  void loseDisk() {
    std::vector<std::size_t> Candidates;
    for (const LogNetwork::Host &Node : m_Network.hosts())
      if (Node.isUp() && !m_IsLeavingOrGone[Node.m_Number])
        Candidates.push_back(Node.m_Number);
    const LogNetwork::Host *Leader = m_Network.leader();
    std::size_t Victim = Candidates[m_Network.random(Candidates.size())];
    if (Leader != nullptr && chance(2) &&
        std::ranges::count(Candidates, Leader->m_Number) > 0)
      Victim = Leader->m_Number;
    m_Plan += " L" + std::to_string(Victim);
    m_Network.crash(host(Victim), true);
    m_Network.replaceDisk(host(Victim));
    m_Network.schedule(std::chrono::seconds(1), [this, Victim] {
      if (!m_IsLeavingOrGone[Victim])
        m_Network.start(host(Victim));
    });
  }

  void generateLoad() {
    for (LogNetwork::Host &Node : m_Network.hosts()) {
      if (!Node.isLeader())
        continue;
      m_Network.requestConfirmation(Node);
      m_Network.callLog(Node, [&](ReplicatedLog &Log) {
        Log.propose(m_Network.now(), std::to_string(++m_Proposals));
        if (chance(200))
          Log.takeSnapshot(m_Network.now(), Node.m_State.m_Index,
                           std::to_string(Node.m_State.m_Hash));
      });
    }
    m_Network.schedule(std::chrono::milliseconds(10),
                       [this] { generateLoad(); });
  }

  void identifyPeers(std::size_t Number) {
    identify(Number);
    report(Number);
    m_Network.schedule(IdentifyInterval + randomDuration(IdentifyInterval / 50),
                       [this, Number] { identifyPeers(Number); });
  }

  /// Asks all hosts for their voter ids and tells them whether this one leaves.
  void identify(std::size_t Number) {
    if (!host(Number).isUp())
      return;
    for (LogNetwork::Host &Other : m_Network.hosts()) {
      if (!Other.isUp() || Other.m_Number == Number)
        continue;
      m_Knowledge[Other.m_Number].m_Answers[Number].m_IsLeaving =
          m_IsLeaving[Number];
      const Instant AskedAt = m_Network.now();
      const VoterId Voter = Other.m_Id;
      m_Network.schedule(2 * m_Network.settings().m_MaxDelay,
                         [this, Number, To = Other.m_Number, AskedAt, Voter] {
                           Answer &Known = m_Knowledge[Number].m_Answers[To];
                           Known.m_Voter = Voter;
                           Known.m_AskedAt = AskedAt;
                           Known.m_AnsweredAt = m_Network.now();
                         });
    }
  }

  std::vector<PeerIdentity> knownPeers(std::size_t Number) {
    Knowledge &Known = m_Knowledge[Number];
    Known.m_Answers[Number].m_Voter = host(Number).m_Id;
    Known.m_Answers[Number].m_AskedAt = m_Network.now();
    Known.m_Answers[Number].m_AnsweredAt = m_Network.now();
    Known.m_Answers[Number].m_IsLeaving = m_IsLeaving[Number];
    std::vector<PeerIdentity> Peers;
    for (const auto &[Other, Last] : Known.m_Answers) {
      const bool IsReachable =
          Last.m_Voter != VoterId() &&
          m_Network.now() - Last.m_AnsweredAt < PeerLostTimeout;
      PeerIdentity Peer;
      Peer.m_Address = std::to_string(Other);
      if (IsReachable)
        Peer.m_Voter = Last.m_Voter;
      Peer.m_IsLeaving = Last.m_IsLeaving;
      Peer.m_AskedAt = Last.m_AskedAt;
      Peers.push_back(std::move(Peer));
    }
    return Peers;
  }

  /// The counterpart of ControlNode::peersIdentified().
  void report(std::size_t Number) {
    LogNetwork::Host &Node = host(Number);
    if (!Node.isUp())
      return;
    if (m_Knowledge[Number].m_CrashCount != Node.m_CrashCount) {
      m_Knowledge[Number] = Knowledge();
      m_Knowledge[Number].m_CrashCount = Node.m_CrashCount;
    }
    const std::vector<PeerIdentity> Peers = knownPeers(Number);
    ReplacedMembers &Replaced = m_Knowledge[Number].m_Replaced;
    m_Network.callLog(Node, [&](ReplicatedLog &Log) {
      Replaced.update(m_Network.now(), Log.membership(), Peers);
      if (m_Rules.m_CountsWithoutReplaced)
        Log.setReplacedMembers(m_Network.now(), Replaced.ids());
      if (Log.isReady())
        changeMembership(Log, Peers);
    });
  }

  void changeMembership(ReplicatedLog &Log,
                        const std::vector<PeerIdentity> &Peers) {
    VoterTarget Target = Voters;
    if (!m_Rules.m_SpareVoters)
      Target.m_Most = Target.m_Least;
    const auto Change =
        nextMembershipChangeForDiscoveredPeers(Log.membership(), Peers, Target);
    if (!Change)
      return;
    switch (Change->m_Kind) {
    case MembershipChange::Kind::AddLearner:
      Log.addMember(m_Network.now(), Change->m_Voter, Change->m_Address);
      break;
    case MembershipChange::Kind::Promote:
      Log.promoteMember(m_Network.now(), Change->m_Voter);
      break;
    case MembershipChange::Kind::Remove:
      Log.removeMember(m_Network.now(), Change->m_Voter);
      break;
    }
  }

  const ReplacementRules m_Rules;     ///< Rules that are followed.
  const SuddenRemovals m_Sudden;      ///< Which hosts end without notice.
  LogNetwork m_Network;               ///< Hosts, disks, network and checks.
  std::vector<Knowledge> m_Knowledge; ///< By host.
  std::map<std::size_t, bool> m_IsLeaving;       ///< By host: waits to end.
  std::map<std::size_t, bool> m_IsLeavingOrGone; ///< By host: told to end.
  std::string m_Plan;                            ///< See plan().
  Instant m_EventsEnd;                           ///< Time of the last event.
  std::uint64_t m_Proposals = 0; ///< Number of proposals so far.
};

} // namespace ragwortmux

#endif // TESTS_LOG_REPLACEMENTRUN_H
