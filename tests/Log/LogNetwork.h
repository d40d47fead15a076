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
  unsigned m_Lost = 0;     ///< Lost messages, per thousand.
  unsigned m_Repeated = 0; ///< Duplicated messages, per thousand.
  unsigned m_Late = 0;     ///< Extra delayed messages, per thousand.
  Duration m_MinDelay =
      std::chrono::milliseconds(5); ///< Minimum one-way delay.
  Duration m_MaxDelay =
      std::chrono::milliseconds(5); ///< Maximum one-way delay.
  Duration m_LateDelay =
      std::chrono::milliseconds(200); ///< Maximum extra delay on top of
                                      ///< m_MinDelay if delayed.
  Duration m_MaxSync =
      std::chrono::milliseconds(0); ///< Maximum duration of a PersistLog.
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
    std::uint64_t m_Life = 0;              ///< Number of crashes.
    Instant m_TickAt = Instant::max();     ///< When the next tick is scheduled.
    Instant m_PausedUntil;      ///< The process is paused until then.
    bool m_TickIsLate = false;  ///< It was paused and has not had a tick since.
    bool m_WasChanging = false; ///< It crashed while its newest configuration
                                ///< was not known to be committed.
    std::vector<LogAction> m_Events; ///< All actions other than SendMessage and
                                     ///< PersistLog.

    /// True if its newest configuration is not known to be committed.
    bool isChanging() const {
      return up() ? m_Log->log().membershipIndex() > m_Log->commitIndex()
                  : m_WasChanging;
    }
    bool up() const { return m_Log != nullptr; } ///< True if it is running.
    /// True if it is running in the role of the leader.
    bool leads() const { return up() && m_Log->role() == LogRole::Leader; }
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
      act(m_Hosts[Number], [&](ReplicatedLog &Log) {
        if (!Log.bootstrap(m_Now, Members))
          m_Checks.fail("bootstrap: " + Log.lastReason());
      });
  }

  /// Calls \p Call on the log of a running host, then performs its actions.
  void act(Host &Each, const std::function<void(ReplicatedLog &)> &Call) {
    if (!Each.up())
      return;
    Call(*Each.m_Log);
    drain(Each);
  }

  /// Requests a leadership confirmation from \p Each.
  void confirm(Host &Each) {
    const std::uint64_t Token = ++m_Token;
    act(Each, [&](ReplicatedLog &Log) {
      m_Checks.asked(Token);
      Log.confirmLeadership(m_Now, ConfirmationToken(Token));
    });
  }

  /// Starts a crashed host. Fails the checks if its disk cannot be opened
  /// without an injected fault.
  void start(Host &Each) {
    LogStorageSettings Settings;
    Settings.m_ClusterName = "test";
    Settings.m_SegmentBytes = 400;
    Settings.m_BatchBytes = 200;
    Settings.m_Random = randomSource();
    Each.m_Storage = std::make_unique<LogStorage>(
        Settings, std::make_unique<FakeFileSystem>(Each.m_Disk));
    std::optional<LogInitialState> Initial = Each.m_Storage->open();
    if (!Initial && Each.m_Disk->hasFailed()) {
      crash(Each, true);
      return;
    }
    if (!Initial) {
      m_Checks.fail("host " + std::to_string(Each.m_Number) +
                    " cannot open its disk: " + Each.m_Storage->lastReason());
      return;
    }
    Each.m_Id = Initial->m_Self;
    Each.m_State = {};
    Each.m_Log = std::make_unique<ReplicatedLog>(m_Now, m_LogSettings,
                                                 std::move(*Initial));
    drain(Each);
  }

  /// Crashes the process or, if \p Machine, the whole machine, so that unsynced
  /// data may be lost.
  void crash(Host &Each, bool Machine) {
    if (Each.up())
      Each.m_WasChanging = Each.isChanging();
    ++Each.m_Life;
    Each.m_Log.reset();
    Each.m_Storage.reset();
    Each.m_TickAt = Instant::max();
    Each.m_PausedUntil = m_Now;
    Each.m_TickIsLate = false;
    Each.m_Disk->clearFault();
    if (Machine)
      Each.m_Disk->loseUnsynced(randomSource());
  }

  /// Pauses a process for \p Span.
  void pause(Host &Each, Duration Span) {
    Each.m_PausedUntil = std::max(Each.m_PausedUntil, m_Now + Span);
    Each.m_TickIsLate = true;
  }

  /// Replaces the disk of a crashed host by a blank one.
  void replaceDisk(Host &Each) {
    Each.m_Disk = std::make_shared<FakeDisk>();
    Each.m_Id = VoterId();
    Each.m_WasChanging = false;
  }

  /// Drops messages between two hosts, in one direction.
  void cut(std::size_t From, std::size_t To) { m_Cut.insert({From, To}); }
  /// Drops all messages between \p Number and the other hosts.
  void isolate(std::size_t Number) {
    for (std::size_t Other = 0; Other < m_Hosts.size(); ++Other) {
      cut(Number, Other);
      cut(Other, Number);
    }
  }
  /// Removes all network partitions.
  void heal() { m_Cut.clear(); }

  /// Schedules \p What after \p Delay.
  void later(Duration Delay, std::function<void()> What) {
    m_Events.emplace(m_Now + Delay, std::move(What));
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
      const std::function<void()> What = std::move(m_Events.begin()->second);
      m_Events.erase(m_Events.begin());
      What();
    }
    m_Now = std::max(m_Now, End);
    return Done && Done();
  }

  /// The host with the highest term that is the leader and ready; or null.
  Host *leader() {
    Host *Found = nullptr;
    for (Host &Each : m_Hosts)
      if (Each.up() && Each.m_Log->isReady() &&
          (!Found || Found->m_Log->term() < Each.m_Log->term()))
        Found = &Each;
    return Found;
  }

  /// Adds the check that no two running members are leaders at the same time.
  void forbidOverlap() { m_ForbidOverlap = true; }

private:
  /// Random delay, so that events that waited for the end of a pause arrive in
  /// any order.
  Duration afterPause() { return Duration(random(MaxAfterPause.count())); }

  static constexpr Duration MaxAfterPause = std::chrono::milliseconds(100);

  void drain(Host &Each) {
    for (LogAction &Action : Each.m_Log->takeActions(m_Now)) {
      std::visit([&](auto &What) { handle(Each, What); }, Action);
      const bool IsOutput = std::holds_alternative<SendMessage>(Action) ||
                            std::holds_alternative<PersistLog>(Action);
      if (!IsOutput)
        Each.m_Events.push_back(std::move(Action));
    }
    scheduleTick(Each);
  }

  void scheduleTick(Host &Each) {
    const Instant At = Each.m_Log->nextTick();
    if (At == Instant::max() || At >= Each.m_TickAt)
      return;
    Each.m_TickAt = At;
    onHost(Each, std::max(At, m_Now) - m_Now, [this, &Each] { tick(Each); });
  }

  void tick(Host &Each) {
    Each.m_TickIsLate = false;
    Each.m_TickAt = Instant::max();
    if (m_Now >= Each.m_Log->nextTick())
      Each.m_Log->tick(m_Now);
    drain(Each);
  }

  /// Schedules \p What on the host, unless the host crashes before.
  void onHost(Host &Each, Duration Delay, std::function<void()> What) {
    const std::uint64_t Life = Each.m_Life;
    later(Delay, [this, &Each, Life, What = std::move(What)] {
      if (Each.m_Life != Life || !Each.up())
        return;
      if (m_Now < Each.m_PausedUntil)
        onHost(Each, Each.m_PausedUntil - m_Now + afterPause(), What);
      else
        What();
    });
  }

  void handle(Host &Each, SendMessage &Action) {
    const LogMember *Member =
        Each.m_Log->membership().find(Action.m_Envelope.m_To);
    const std::size_t To =
        Member ? std::stoul(Member->m_Address) : hostOf(Action.m_Envelope.m_To);
    if (To >= m_Hosts.size() || m_Cut.contains({Each.m_Number, To}) ||
        random(1000) < m_Settings.m_Lost)
      return;
    transmit(m_Hosts[To], Action.m_Envelope);
    if (random(1000) < m_Settings.m_Repeated)
      transmit(m_Hosts[To], Action.m_Envelope);
  }

  void transmit(Host &To, const LogEnvelope &Envelope) {
    const Duration Spread = random(1000) < m_Settings.m_Late
                                ? m_Settings.m_LateDelay
                                : m_Settings.m_MaxDelay - m_Settings.m_MinDelay;
    const Duration Extra(random(Spread.count() + 1));
    later(m_Settings.m_MinDelay + Extra, [this, &To, Envelope] {
      onHost(To, Duration(0), [this, &To, Envelope] {
        To.m_Log->receive(m_Now, Envelope);
        drain(To);
      });
    });
  }

  void handle(Host &Each, PersistLog &Action) {
    const Duration Delay(random(m_Settings.m_MaxSync.count() + 1));
    onHost(Each, Delay, [this, &Each, Change = Action] {
      if (!Each.m_Storage->persist(Change)) {
        Each.m_Log->persistFailed();
        drain(Each);
        crash(Each, random(2) == 0);
        return;
      }
      Each.m_Log->persisted(m_Now, Change.m_Sequence);
      drain(Each);
    });
  }

  void handle(Host &Each, ApplyEntries &Action) {
    for (const LogEntry &Entry : Action.m_Entries)
      Each.m_State = m_Checks.applied(Each.m_State, Entry);
  }

  void handle(Host &Each, RestoreSnapshot &Action) {
    const LogSnapshot &Snapshot = *Action.m_Snapshot;
    Each.m_State = {Snapshot.m_Last.m_Index, std::stoull(Snapshot.m_State)};
    m_Checks.restored(Snapshot, Each.m_State);
  }

  void handle(Host &Each, BecameLeader &Action) {
    m_Checks.elected(Action.m_Term, Each.m_Id);
    for (const Host &Other : m_Hosts)
      if (m_ForbidOverlap && &Other != &Each && Other.leads() &&
          !Other.m_TickIsLate)
        m_Checks.fail("two members are leaders at the same time");
  }

  void handle(Host &Each, LeadershipConfirmed &Action) {
    m_Checks.confirmed(Action.m_Token.value(), Each.m_Log->term(),
                       Each.m_State.m_Index);
  }

  void handle(Host & /*Each*/, ProposalDropped &Action) {
    if (Action.m_Fate == ProposalFate::NotCommitted)
      m_Checks.notCommitted(Action.m_Id);
  }

  void handle(Host & /*Each*/, LeaderReady & /*Action*/) {}
  void handle(Host & /*Each*/, LostLeadership & /*Action*/) {}
  void handle(Host & /*Each*/, ConfirmationDropped & /*Action*/) {}

  /// Position of the host with the disk \p Id, or the number of hosts if there
  /// is none.
  std::size_t hostOf(const VoterId &Id) const {
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
  std::set<std::pair<std::size_t, std::size_t>> m_Cut; ///< Blocked connections
                                                       ///< (from, to).
  std::vector<Host> m_Hosts;                           ///< See hosts().
  std::uint64_t m_Token = 0;    ///< Last confirmation token.
  bool m_ForbidOverlap = false; ///< See forbidOverlap().
};

} // namespace ragwortmux

#endif // TESTS_LOG_LOGNETWORK_H
