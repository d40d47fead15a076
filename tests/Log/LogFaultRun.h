#ifndef TESTS_LOG_LOGFAULTRUN_H
#define TESTS_LOG_LOGFAULTRUN_H

#include "tests/Log/LogNetwork.h"

#include <algorithm>

namespace ragwortmux {

/// One randomized run: 3 to 5 hosts process load under injected faults. Then
/// all faults end, and all hosts must agree on the log, once directly and once
/// more after a restart.
class LogFaultRun final {
public:
  explicit LogFaultRun(std::uint64_t Seed)
      : m_Network(Seed, 3 + Seed % 3, faultyNetwork()) {
    ReplicatedLogSettings &Settings = m_Network.logSettings();
    Settings.m_MaxAppendEntries = 1 + m_Network.random(8);
    Settings.m_MaxInFlightEntries = 1 + m_Network.random(32);
    Settings.m_MaxAppendBytes = 1 + m_Network.random(200);
    Settings.m_TrailingEntries = m_Network.random(8);
    Settings.m_CatchUpEntries = 4;
    m_TransfersLeadership = Seed % 2 == 0;
    m_LosesDisks = Seed % 4 < 2;
    if (!m_TransfersLeadership)
      m_Network.forbidOverlappingLeaders();
    restartAll();
    m_Network.bootstrap(3);
    for (std::size_t Number = 0; Number < 3; ++Number)
      m_InitialMembership.m_Members.push_back(
          {m_Network.hosts()[Number].m_Id, std::to_string(Number), true});
  }

  /// Performs the run. Returns the first violation, if any.
  std::optional<std::string> run() {
    generateLoad();
    maintainMembership();
    injectFault();
    m_Network.run(FaultSpan);
    m_IsHealing = true;
    m_Network.heal();
    m_Network.settings() = LogNetworkSettings();
    const std::uint64_t Before = waitForAgreement("after healing");
    restartAll();
    const std::uint64_t After = waitForAgreement("after a restart");
    if (After < Before)
      m_Network.checks().fail(
          "the committed log became shorter after a restart");
    return m_Network.checks().failure();
  }

  LogNetwork &network() { return m_Network; } ///< For statistics of the run.

private:
  static constexpr Duration FaultSpan = std::chrono::seconds(5);
  static constexpr Duration HealSpan = std::chrono::seconds(30);

  static LogNetworkSettings faultyNetwork() {
    LogNetworkSettings Settings;
    Settings.m_LostPerMille = 30;
    Settings.m_DuplicatedPerMille = 30;
    Settings.m_DelayedPerMille = 30;
    Settings.m_MinDelay = std::chrono::milliseconds(1);
    Settings.m_MaxDelay = std::chrono::milliseconds(10);
    Settings.m_MaxSyncTime = std::chrono::milliseconds(5);
    return Settings;
  }

  Duration randomDuration(int FromMs, int ToMs) {
    return std::chrono::milliseconds(
        FromMs + static_cast<int>(m_Network.random(ToMs - FromMs + 1)));
  }

  /// Generates proposals, leadership confirmations and snapshots.
  void generateLoad() {
    for (LogNetwork::Host &Node : m_Network.hosts()) {
      if (Node.m_PausedUntil > m_Network.now())
        continue;
      if (Node.isLeader())
        m_Network.requestConfirmation(Node);
      m_Network.callLog(Node, [&](ReplicatedLog &Log) {
        Log.propose(m_Network.now(), std::string(m_Network.random(60), 'x') +
                                         std::to_string(++m_Proposals));
        if (m_Network.random(40) == 0)
          Log.takeSnapshot(m_Network.now(), Node.m_State.m_Index,
                           std::to_string(Node.m_State.m_Hash));
      });
    }
    m_Network.schedule(randomDuration(5, 30), [this] { generateLoad(); });
  }

  /// Replaces members whose disk is lost, and at random also other voters.
  void maintainMembership() {
    for (LogNetwork::Host &Node : m_Network.hosts())
      if (Node.isUp() && Node.m_PausedUntil <= m_Network.now())
        m_Network.callLog(Node,
                          [&](ReplicatedLog &Log) { changeMembership(Log); });
    m_Network.schedule(randomDuration(30, 120),
                       [this] { maintainMembership(); });
  }

  /// Tells a member of lost disks; sooner or later all hear of all.
  void reportReplacedMembers(ReplicatedLog &Log) {
    if (m_Network.random(2) == 0)
      return;
    std::set<VoterId> Replaced;
    for (const LogMember &Member : Log.membership().m_Members) {
      const LogNetwork::Host &Node =
          m_Network.hosts()[std::stoul(Member.m_Address)];
      if (Node.isUp() && Node.m_Id != Member.m_Id)
        Replaced.insert(Member.m_Id);
    }
    Log.setReplacedMembers(m_Network.now(), std::move(Replaced));
  }

  void changeMembership(ReplicatedLog &Log) {
    reportReplacedMembers(Log);
    if (!Log.isReady())
      return;
    const Instant Now = m_Network.now();
    const LogMembership Members = Log.membership();
    const auto Voters =
        std::count_if(Members.m_Members.begin(), Members.m_Members.end(),
                      [](const LogMember &Member) { return Member.m_IsVoter; });
    for (const LogMember &Member : Members.m_Members) {
      const std::size_t Number = std::stoul(Member.m_Address);
      const bool IsDiskReplaced = m_Network.hosts()[Number].m_Id != Member.m_Id;
      const bool IsRemovedAtRandom = !m_IsHealing && Member.m_IsVoter &&
                                     Voters > (m_LosesDisks ? 3 : 1) &&
                                     m_Network.random(30) == 0;
      if (IsDiskReplaced || IsRemovedAtRandom) {
        Log.removeMember(Now, Member.m_Id);
        return;
      }
      if (!Member.m_IsVoter && Log.promoteMember(Now, Member.m_Id))
        return;
    }
    for (const LogNetwork::Host &Node : m_Network.hosts())
      if (Node.m_Id != VoterId() && !Members.find(Node.m_Id)) {
        Log.addMember(Now, Node.m_Id, std::to_string(Node.m_Number));
        return;
      }
  }

  void injectFault() {
    if (m_IsHealing)
      return;
    LogNetwork::Host &Victim =
        m_Network.hosts()[m_Network.random(m_Network.hosts().size())];
    switch (m_Network.random(8)) {
    case 0:
      m_Network.isolate(Victim.m_Number);
      break;
    case 1:
      m_Network.cut(Victim.m_Number,
                    m_Network.random(m_Network.hosts().size()));
      break;
    case 2:
      crash(Victim);
      break;
    case 3:
      // The process or the machine crashes at one of its next disk operations.
      Victim.m_Disk->injectFailure(m_Network.random(8),
                                   m_Network.random(2) == 0);
      break;
    case 4:
      if (canLoseDisk(Victim)) {
        m_Network.crash(Victim, true);
        m_Network.replaceDisk(Victim);
      }
      break;
    case 5:
      m_Network.pause(Victim, randomDuration(50, 800));
      break;
    case 6:
      if (LogNetwork::Host *Leader = m_Network.leader())
        Leader == &Victim || !m_TransfersLeadership ? crash(*Leader)
                                                    : transfer(*Leader, Victim);
      break;
    default:
      m_Network.heal();
      break;
    }
    m_Network.schedule(randomDuration(20, 1000),
                       [this] { startCrashedHosts(); });
    m_Network.schedule(randomDuration(20, 500), [this] { injectFault(); });
  }

  void crash(LogNetwork::Host &Victim) {
    if (Victim.isUp())
      m_Network.crash(Victim, m_Network.random(2) == 0);
  }

  void transfer(LogNetwork::Host &From, const LogNetwork::Host &To) {
    m_Network.callLog(From, [&](ReplicatedLog &Log) {
      Log.transferLeadership(m_Network.now(), To.m_Id);
    });
  }

  /// Only one disk at a time may be lost, and none during a membership change:
  /// a majority quorum does not tolerate more.
  bool canLoseDisk(const LogNetwork::Host &Victim) {
    const LogMembership &Members =
        m_Network.checks().membership().m_Members.empty()
            ? m_InitialMembership
            : m_Network.checks().membership();
    std::size_t Voters = 0;
    for (const LogMember &Member : Members.m_Members) {
      const LogNetwork::Host &Node =
          m_Network.hosts()[std::stoul(Member.m_Address)];
      if (!Member.m_IsVoter)
        continue;
      ++Voters;
      if (Node.m_Id != Member.m_Id)
        return false;
    }
    for (const LogNetwork::Host &Node : m_Network.hosts())
      if (Node.isChangingMembership())
        return false;
    return m_LosesDisks && Voters >= 3 && Victim.m_Id != VoterId();
  }

  void startCrashedHosts() {
    for (LogNetwork::Host &Node : m_Network.hosts())
      if (!Node.isUp())
        m_Network.start(Node);
  }

  void restartAll() {
    for (LogNetwork::Host &Node : m_Network.hosts())
      if (Node.isUp())
        m_Network.crash(Node, true);
    startCrashedHosts();
  }

  /// Waits until all hosts are voters and have applied all entries that were
  /// committed by then. Returns the index of the last of these entries.
  std::uint64_t waitForAgreement(const std::string &When) {
    startCrashedHosts();
    for (LogNetwork::Host &Node : m_Network.hosts())
      Node.m_Disk->clearFault();
    m_Network.run(HealSpan, [this] { return allHostsVote(); });
    startCrashedHosts();
    const LogIndex Goal = m_Network.checks().newestCommitted();
    const bool Agreed = m_Network.run(HealSpan, [this, Goal] {
      for (const LogNetwork::Host &Node : m_Network.hosts())
        if (!Node.isUp() || Node.m_State.m_Index <= Goal)
          return false;
      return allHostsVote();
    });
    if (!Agreed)
      m_Network.checks().fail("no agreement " + When);
    return Goal.value();
  }

  bool allHostsVote() {
    const LogNetwork::Host *Leader = m_Network.leader();
    if (!Leader)
      return false;
    const LogMembership &Members = Leader->m_Log->membership();
    for (const LogNetwork::Host &Node : m_Network.hosts())
      if (!Members.isVoter(Node.m_Id))
        return false;
    return Members.m_Members.size() == m_Network.hosts().size();
  }

  LogNetwork m_Network;              ///< Hosts, disks, network and checks.
  LogMembership m_InitialMembership; ///< The initial configuration.
  bool m_LosesDisks = false; ///< Disks are lost, and at least three voters
                             ///< remain; else fewer voters may remain.
  bool m_TransfersLeadership = false; ///< Leadership is transferred at random.
  bool m_IsHealing = false;           ///< No more faults are injected.
  std::uint64_t m_Proposals = 0;      ///< Number of proposals so far.
};

} // namespace ragwortmux

#endif // TESTS_LOG_LOGFAULTRUN_H
