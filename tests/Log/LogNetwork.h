#ifndef TESTS_LOG_LOGNETWORK_H
#define TESTS_LOG_LOGNETWORK_H

#include "ragwortmux/Process/Log/LogStorage.h"
#include "ragwortmux/Process/Log/ReplicatedLog.h"
#include "tests/Log/FakeDisk.h"
#include "tests/Log/LogChecks.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ragwortmux {

/// Faults and delays of a LogNetwork.
struct LogNetworkSettings final {
  unsigned m_LostPerMille = 0;       ///< Lost messages, per thousand.
  unsigned m_DuplicatedPerMille = 0; ///< Duplicated messages, per thousand.
  unsigned m_DelayedPerMille = 0;    ///< Extra delayed messages, per thousand.
  /// Minimum one-way delay.
  Duration m_MinDelay = std::chrono::milliseconds(5);
  /// Maximum one-way delay.
  Duration m_MaxDelay = std::chrono::milliseconds(5);
  /// Maximum delay of an extra delayed message on top of m_MinDelay.
  Duration m_MaxExtraDelay = std::chrono::milliseconds(200);
  /// Maximum duration of a PersistLog.
  Duration m_MaxSyncTime = std::chrono::milliseconds(0);
};

/// Members of a replicated log with in-memory disks and network, in simulated
/// time.
class LogNetwork final {
public:
  /// One host. Its disk, and with it its voter id, can be replaced.
  struct Host final {
    std::size_t m_Number = 0;              ///< Position in hosts().
    std::shared_ptr<FakeDisk> m_Disk;      ///< Its disk; survives crashes.
    std::unique_ptr<LogStorage> m_Storage; ///< Null while crashed.
    std::unique_ptr<ReplicatedLog> m_Log;  ///< Null while crashed.
    VoterId m_Id;                          ///< Id of the disk; empty if blank.
    LogChecks::State m_State;              ///< State after the applied entries.
    std::uint64_t m_CrashCount = 0;        ///< Number of crashes.
    Instant m_NextTickAt = Instant::max(); ///< When the next tick is scheduled.
    Instant m_PausedUntil;        ///< The process is paused until then.
    bool m_IsTickOverdue = false; ///< It was paused and had no tick since.
    /// isChangingMembership() at the time of its last crash.
    bool m_WasChangingMembership = false;
    std::vector<LogAction> m_Events; ///< All actions other than SendMessage and
                                     ///< PersistLog.

    /// True if its newest configuration is not known to be committed.
    bool isChangingMembership() const {
      return isUp() ? m_Log->log().membershipIndex() > m_Log->commitIndex()
                    : m_WasChangingMembership;
    }
    bool isUp() const { return m_Log != nullptr; } ///< True if it is running.
    /// True if it is running in the role of the leader.
    bool isLeader() const { return isUp() && m_Log->role() == LogRole::Leader; }
  };

  LogNetwork(std::uint64_t Seed, std::size_t Hosts, LogNetworkSettings Settings)
      : m_Random(Seed), m_Settings(Settings), m_Hosts(Hosts) {
    m_LogSettings.m_Random = [this] { return m_Random(); };
    for (std::size_t Number = 0; Number < Hosts; ++Number) {
      m_Hosts[Number].m_Number = Number;
      m_Hosts[Number].m_Disk = std::make_shared<FakeDisk>();
      start(m_Hosts[Number]);
    }
  }

  /// Settings of the members; used from their next start on.
  ReplicatedLogSettings &logSettings() { return m_LogSettings; }
  LogNetworkSettings &settings() { return m_Settings; } ///< Faults and delays.
  LogChecks &checks() { return m_Checks; }              ///< Safety checks.
  std::vector<Host> &hosts() { return m_Hosts; }        ///< All hosts.
  Instant now() const { return m_Now; }                 ///< Simulated time.
  /// A random number below \p Bound.
  std::uint64_t random(std::uint64_t Bound) { return m_Random() % Bound; }
  /// A function that returns random numbers.
  std::function<std::uint64_t()> randomSource() {
    return [this] { return m_Random(); };
  }

  /// Bootstraps the log with the first \p Voters hosts as voters.
  void bootstrap(std::size_t Voters) {
    LogMembership Members;
    for (std::size_t Number = 0; Number < Voters; ++Number)
      Members.m_Members.push_back(
          {m_Hosts[Number].m_Id, std::to_string(Number), true});
    for (std::size_t Number = 0; Number < Voters; ++Number)
      callLog(m_Hosts[Number], [&](ReplicatedLog &Log) {
        if (!Log.bootstrap(m_Now, Members))
          m_Checks.fail("bootstrap: " + Log.lastReason());
      });
  }

  /// Calls \p Call on the log of a running host, then performs its actions.
  void callLog(Host &Node, const std::function<void(ReplicatedLog &)> &Call) {
    if (!Node.isUp())
      return;
    Call(*Node.m_Log);
    performActions(Node);
  }

  /// Requests a leadership confirmation from \p Node.
  void requestConfirmation(Host &Node) {
    const std::uint64_t Token = ++m_LastToken;
    callLog(Node, [&](ReplicatedLog &Log) {
      m_Checks.onConfirmationRequested(Token);
      Log.confirmLeadership(m_Now, ConfirmationToken(Token));
    });
  }

  /// Starts a crashed host. Fails the checks if its disk cannot be opened
  /// without an injected fault.
  void start(Host &Node) {
    LogStorageSettings Settings;
    Settings.m_ClusterName = "test";
    Settings.m_SegmentBytes = 400;
    Settings.m_BatchBytes = 200;
    Settings.m_Random = randomSource();
    Node.m_Storage = std::make_unique<LogStorage>(
        Settings, std::make_unique<FakeFileSystem>(Node.m_Disk));
    std::optional<LogInitialState> Initial = Node.m_Storage->open();
    if (!Initial && Node.m_Disk->hasFailed()) {
      crash(Node, true);
      return;
    }
    if (!Initial) {
      m_Checks.fail("host " + std::to_string(Node.m_Number) +
                    " cannot open its disk: " + Node.m_Storage->lastReason());
      return;
    }
    Node.m_Id = Initial->m_Self;
    Node.m_State = {};
    Node.m_Log = std::make_unique<ReplicatedLog>(m_Now, m_LogSettings,
                                                 std::move(*Initial));
    performActions(Node);
  }

  /// Crashes the process or, if \p WholeMachine, the whole machine, so that
  /// unsynced data may be lost.
  void crash(Host &Node, bool WholeMachine) {
    if (Node.isUp())
      Node.m_WasChangingMembership = Node.isChangingMembership();
    ++Node.m_CrashCount;
    Node.m_Log.reset();
    Node.m_Storage.reset();
    Node.m_NextTickAt = Instant::max();
    Node.m_PausedUntil = m_Now;
    Node.m_IsTickOverdue = false;
    Node.m_Disk->clearFault();
    if (WholeMachine)
      Node.m_Disk->loseUnsynced(randomSource());
  }

  /// Pauses a process for \p Span.
  void pause(Host &Node, Duration Span) {
    Node.m_PausedUntil = std::max(Node.m_PausedUntil, m_Now + Span);
    Node.m_IsTickOverdue = true;
  }

  /// Replaces the disk of a crashed host by a blank one.
  void replaceDisk(Host &Node) {
    Node.m_Disk = std::make_shared<FakeDisk>();
    Node.m_Id = VoterId();
    Node.m_WasChangingMembership = false;
  }

  /// Drops messages between two hosts, in one direction.
  void cut(std::size_t From, std::size_t To) { m_CutLinks.insert({From, To}); }
  /// Drops all messages between \p Number and the other hosts.
  void isolate(std::size_t Number) {
    for (std::size_t Other = 0; Other < m_Hosts.size(); ++Other) {
      cut(Number, Other);
      cut(Other, Number);
    }
  }
  /// Removes all network partitions.
  void heal() { m_CutLinks.clear(); }

  /// Schedules \p Task after \p Delay.
  void schedule(Duration Delay, std::function<void()> Task) {
    m_Events.emplace(m_Now + Delay, std::move(Task));
  }

  /// Advances the time until \p Done returns true, but at most by \p Span.
  /// Returns the last result of \p Done. Stops at a violation.
  bool run(Duration Span, const std::function<bool()> &Done = nullptr) {
    const Instant End = m_Now + Span;
    while (!m_Events.empty() && m_Events.begin()->first <= End &&
           !m_Checks.failure()) {
      if (Done && Done())
        return true;
      m_Now = m_Events.begin()->first;
      const std::function<void()> Task = std::move(m_Events.begin()->second);
      m_Events.erase(m_Events.begin());
      Task();
    }
    m_Now = std::max(m_Now, End);
    return Done && Done();
  }

  /// The host with the highest term that is the leader and ready; or null.
  Host *leader() {
    Host *Found = nullptr;
    for (Host &Node : m_Hosts)
      if (Node.isUp() && Node.m_Log->isReady() &&
          (!Found || Found->m_Log->term() < Node.m_Log->term()))
        Found = &Node;
    return Found;
  }

  /// Adds the check that no two running members are leaders at the same time.
  void forbidOverlappingLeaders() { m_ForbidsOverlappingLeaders = true; }

private:
  /// Random delay, so that events that waited for the end of a pause arrive in
  /// any order.
  Duration randomDelayAfterPause() {
    return Duration(random(MaxDelayAfterPause.count()));
  }

  static constexpr Duration MaxDelayAfterPause = std::chrono::milliseconds(100);

  void performActions(Host &Node) {
    for (LogAction &Action : Node.m_Log->takeActions(m_Now)) {
      std::visit([&](auto &Taken) { handle(Node, Taken); }, Action);
      const bool IsOutput = std::holds_alternative<SendMessage>(Action) ||
                            std::holds_alternative<PersistLog>(Action);
      if (!IsOutput)
        Node.m_Events.push_back(std::move(Action));
    }
    scheduleTick(Node);
  }

  void scheduleTick(Host &Node) {
    const Instant At = Node.m_Log->nextTick();
    if (At == Instant::max() || At >= Node.m_NextTickAt)
      return;
    Node.m_NextTickAt = At;
    scheduleOnHost(Node, std::max(At, m_Now) - m_Now,
                   [this, &Node] { tick(Node); });
  }

  void tick(Host &Node) {
    Node.m_IsTickOverdue = false;
    Node.m_NextTickAt = Instant::max();
    if (m_Now >= Node.m_Log->nextTick())
      Node.m_Log->tick(m_Now);
    performActions(Node);
  }

  /// Schedules \p Task on the host, unless the host crashes before.
  void scheduleOnHost(Host &Node, Duration Delay, std::function<void()> Task) {
    const std::uint64_t CrashCount = Node.m_CrashCount;
    schedule(Delay, [this, &Node, CrashCount, Task = std::move(Task)] {
      if (Node.m_CrashCount != CrashCount || !Node.isUp())
        return;
      if (m_Now < Node.m_PausedUntil)
        scheduleOnHost(
            Node, Node.m_PausedUntil - m_Now + randomDelayAfterPause(), Task);
      else
        Task();
    });
  }

  void handle(Host &Node, SendMessage &Action) {
    const LogMember *Member =
        Node.m_Log->membership().find(Action.m_Envelope.m_To);
    const std::size_t To = Member ? std::stoul(Member->m_Address)
                                  : findHostByDisk(Action.m_Envelope.m_To);
    if (To >= m_Hosts.size() || m_CutLinks.contains({Node.m_Number, To}) ||
        random(1000) < m_Settings.m_LostPerMille)
      return;
    transmit(m_Hosts[To], Action.m_Envelope);
    if (random(1000) < m_Settings.m_DuplicatedPerMille)
      transmit(m_Hosts[To], Action.m_Envelope);
  }

  void transmit(Host &To, const LogEnvelope &Envelope) {
    const Duration Spread = random(1000) < m_Settings.m_DelayedPerMille
                                ? m_Settings.m_MaxExtraDelay
                                : m_Settings.m_MaxDelay - m_Settings.m_MinDelay;
    const Duration Extra(random(Spread.count() + 1));
    schedule(m_Settings.m_MinDelay + Extra, [this, &To, Envelope] {
      scheduleOnHost(To, Duration(0), [this, &To, Envelope] {
        To.m_Log->receive(m_Now, Envelope);
        performActions(To);
      });
    });
  }

  void handle(Host &Node, PersistLog &Action) {
    const Duration Delay(random(m_Settings.m_MaxSyncTime.count() + 1));
    scheduleOnHost(Node, Delay, [this, &Node, Change = Action] {
      if (!Node.m_Storage->persist(Change)) {
        Node.m_Log->persistFailed();
        performActions(Node);
        crash(Node, random(2) == 0);
        return;
      }
      Node.m_Log->persisted(m_Now, Change.m_Sequence);
      performActions(Node);
    });
  }

  void handle(Host &Node, ApplyEntries &Action) {
    for (const LogEntry &Entry : Action.m_Entries)
      Node.m_State = m_Checks.onApplied(Node.m_State, Entry);
  }

  void handle(Host &Node, RestoreSnapshot &Action) {
    const LogSnapshot &Snapshot = *Action.m_Snapshot;
    Node.m_State = {Snapshot.m_Last.m_Index, std::stoull(Snapshot.m_State)};
    m_Checks.onSnapshotRestored(Snapshot, Node.m_State);
  }

  void handle(Host &Node, BecameLeader &Action) {
    m_Checks.onElected(Action.m_Term, Node.m_Id);
    for (const Host &Other : m_Hosts)
      if (m_ForbidsOverlappingLeaders && &Other != &Node && Other.isLeader() &&
          !Other.m_IsTickOverdue)
        m_Checks.fail("two members are leaders at the same time");
  }

  void handle(Host &Node, LeadershipConfirmed &Action) {
    m_Checks.onConfirmed(Action.m_Token.value(), Node.m_Log->term(),
                         Node.m_State.m_Index);
  }

  void handle(Host & /*Node*/, ProposalDropped &Action) {
    if (Action.m_Outcome == ProposalOutcome::NotCommitted)
      m_Checks.onNotCommitted(Action.m_Id);
  }

  void handle(Host & /*Node*/, LeaderReady & /*Action*/) {}
  void handle(Host & /*Node*/, LostLeadership & /*Action*/) {}
  void handle(Host & /*Node*/, ConfirmationDropped & /*Action*/) {}

  /// Position of the host with the disk \p Id, or the number of hosts if there
  /// is none.
  std::size_t findHostByDisk(const VoterId &Id) const {
    std::size_t Number = 0;
    while (Number < m_Hosts.size() && m_Hosts[Number].m_Id != Id)
      ++Number;
    return Number;
  }

  std::mt19937_64 m_Random;               ///< The only source of randomness.
  LogNetworkSettings m_Settings;          ///< See settings().
  ReplicatedLogSettings m_LogSettings;    ///< See logSettings().
  LogChecks m_Checks;                     ///< See checks().
  Instant m_Now{std::chrono::seconds(1)}; ///< Simulated time.
  std::multimap<Instant, std::function<void()>> m_Events; ///< Scheduled events.
  /// Connections that drop all messages: from, to.
  std::set<std::pair<std::size_t, std::size_t>> m_CutLinks;
  std::vector<Host> m_Hosts;                ///< See hosts().
  std::uint64_t m_LastToken = 0;            ///< Last confirmation token.
  bool m_ForbidsOverlappingLeaders = false; ///< See forbidOverlappingLeaders().
};

} // namespace ragwortmux

#endif // TESTS_LOG_LOGNETWORK_H
