#ifndef TESTS_REQUEST_PERMITSIMULATION_H
#define TESTS_REQUEST_PERMITSIMULATION_H

#include "ragwortmux/Request/WorkspacePermits.h"
#include "ragwortmux/Version/WorkspaceLimiter.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// \file
/// A simulation of entry hosts and control hosts that runs WorkspacePermits and
/// WorkspaceLimiter with delayed, lost and duplicated messages, frozen hosts,
/// clocks that drift, changes of leader and changes of limits.

namespace ragwortmux::test {

/// A rule of the design that a run leaves out, to show that the check of the
/// windows notices it.
enum class OmittedRule : std::uint8_t {
  None,
  EmptyStart,        ///< A new leader's buckets start empty.
  QuorumRound,       ///< The leader is confirmed before it answers.
  Expiry,            ///< Permits expire.
  ExpiryFromSending, ///< The validity counts from the sending of the request.
  AnswerOnce,        ///< An answer counts once.
  BucketAfterRemoval ///< The bucket of a removed workspace is kept.
};

inline std::ostream &operator<<(std::ostream &Stream, OmittedRule Rule) {
  return Stream << "rule " << static_cast<int>(Rule);
}

/// Probabilities and amounts of the simulated faults.
struct PermitFaults final {
  double m_Loss = 0;         ///< Probability that a message is lost.
  double m_Duplication = 0;  ///< That one arrives twice.
  Duration m_MinDelay{4000}; ///< Delay of a message.
  Duration m_MaxDelay{8000}; ///< The same.
  double m_LongDelay = 0;    ///< Probability of a delay up to 2 s.
  double m_WrongNode = 0;    ///< That a request goes to any control host.
  double m_Drift = 0;        ///< Deviation of the clocks' speed.
  OmittedRule m_Omitted = OmittedRule::None; ///< Rule left out.
};

/// One run with one workspace. All times are true times from the epoch; each
/// host reads a clock of its own.
class PermitSimulation final {
public:
  static constexpr std::size_t ControlHosts = 3;

  PermitSimulation(std::uint64_t Seed, std::size_t EntryHosts,
                   const WorkspaceLimiterSettings &Limits,
                   const WorkspaceLimit &Limit, const PermitFaults &Faults)
      : m_Random(Seed), m_Settings(Limits), m_Limit(Limit), m_Faults(Faults) {
    for (std::size_t Index = 0; Index < EntryHosts; ++Index)
      addEntryHost(Index);
    for (std::size_t Index = 0; Index < ControlHosts; ++Index) {
      m_Leaders.push_back(std::make_unique<ControlHost>());
      m_Leaders.back()->m_Clock = makeClock();
      m_Leaders.back()->m_Limiter = std::make_unique<WorkspaceLimiter>(Limits);
    }
    elect(0);
    m_LimitLog.emplace_back(Instant(), Limit);
  }

  void at(Instant When, std::function<void()> Work) {
    m_Events.push({When, ++m_LastEvent, std::move(Work)});
  }
  void run(Instant End) {
    while (!m_Events.empty() && m_Events.top().m_At <= End) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Work();
    }
    m_Now = End;
  }

  /// An operation arrives at \p Host.
  void arrive(std::size_t Host) {
    whenRunning(Host, [this, Host] {
      EntryHost &Entry = *m_Hosts[Host];
      ++m_Arrived;
      if (Entry.m_Repeated > 0) {
        --Entry.m_Repeated;
        m_Sent.push_back(m_Now);
        return;
      }
      switch (Entry.m_Permits->arrived(time(Entry), Name)) {
      case PermitDecision::Refused:
        refuse(Entry);
        break;
      case PermitDecision::Wait:
        Entry.m_Permits->beginWait(time(Entry), Name);
        ++Entry.m_Waiting;
        break;
      case PermitDecision::Granted:
        send(Entry);
        break;
      }
    });
  }
  /// \p Host does nothing for \p Length.
  void freeze(std::size_t Host, Duration Length) {
    m_Hosts[Host]->m_FrozenUntil = m_Now + Length;
  }
  void freezeLeader(Duration Length) {
    m_Leaders[m_Leader]->m_FrozenUntil = m_Now + Length;
  }
  /// No message passes between \p Host and control.
  void cutOff(std::size_t Host, Duration Length) {
    m_Hosts[Host]->m_CutUntil = m_Now + Length;
  }
  void restart(std::size_t Host) { addEntryHost(Host); }
  /// Makes \p Node the leader; the former one notices later, if at all.
  void elect(std::size_t Node) {
    m_Leader = Node;
    ++m_Term;
    ControlHost &Elected = *m_Leaders[Node];
    Elected.m_Term = m_Term;
    Elected.m_FrozenUntil = Instant();
    Elected.m_Limiter->becameLeader(
        m_Faults.m_Omitted == OmittedRule::EmptyStart
            ? Elected.m_Clock.read(m_Now) - std::chrono::hours(1)
            : Elected.m_Clock.read(m_Now));
  }
  /// Messages take \p Delay each, and none has a long delay.
  void setDelay(Duration Delay) {
    m_Faults.m_LongDelay = 0;
    m_Faults.m_MinDelay = Delay;
    m_Faults.m_MaxDelay = Delay;
  }
  void setLimit(const WorkspaceLimit &Limit) {
    m_Limit = Limit;
    m_LimitLog.emplace_back(m_Now, Limit);
  }
  /// The workspace is removed and added again \p Length later.
  void removeAndAdd(Duration Length) {
    m_IsRemoved = true;
    at(m_Now + Length, [this] {
      m_IsRemoved = false;
      if (m_Faults.m_Omitted != OmittedRule::BucketAfterRemoval)
        return;
      ControlHost &Current = *m_Leaders[m_Leader];
      Current.m_Limiter->becameLeader(Current.m_Clock.read(m_Now) -
                                      std::chrono::hours(1));
    });
  }

  /// A window with more operations than allowed; none if there is none.
  std::optional<Instant> findExceededWindow() const {
    const WorkspaceLimiter Bounds(m_Settings);
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < m_Sent.size(); ++Last) {
      while (m_Sent[Last] - m_Sent[First] >= m_Settings.m_Window)
        ++First;
      if (static_cast<double>(Last - First + 1) >
          Bounds.bound(highestLimit(m_Sent[First], m_Sent[Last])))
        return m_Sent[First];
    }
    return std::nullopt;
  }
  /// Operations sent from \p From on, until \p End.
  std::size_t sentBetween(Instant From, Instant End) const {
    return static_cast<std::size_t>(
        std::count_if(m_Sent.begin(), m_Sent.end(), [&](Instant Each) {
          return Each >= From && Each < End;
        }));
  }

  std::mt19937_64 &random() { return m_Random; }
  std::uint64_t below(std::uint64_t Limit) { return m_Random() % Limit; }
  bool chance(double Probability) {
    return std::uniform_real_distribution<>(0, 1)(m_Random) < Probability;
  }
  Instant now() const { return m_Now; }
  std::size_t leader() const { return m_Leader; }
  std::size_t refusedCount() const { return m_Refused; }
  std::size_t sentCount() const { return m_Sent.size(); }
  std::size_t requestCount() const { return m_Requests; }

private:
  /// A clock with an error in offset and speed.
  struct Clock final {
    Duration m_Offset{0};
    double m_Speed = 1;
    Instant read(Instant True) const {
      return Instant(std::chrono::hours(24)) + m_Offset +
             Duration(static_cast<std::int64_t>(
                 m_Speed *
                 static_cast<double>(True.time_since_epoch().count())));
    }
  };
  struct EntryHost final {
    Clock m_Clock;
    std::unique_ptr<WorkspacePermits> m_Permits;
    std::size_t m_Waiting = 0;
    Instant m_FrozenUntil;
    Instant m_CutUntil;
    bool m_IsRequestScheduled = false;
    bool m_IsTickScheduled = false;
    std::uint64_t m_Run = 0; ///< Rises with each restart.
    Instant m_SentAt; ///< When the newest request was sent, by its clock.
    std::uint32_t m_Repeated = 0; ///< See OmittedRule::AnswerOnce.
  };
  struct ControlHost final {
    Clock m_Clock;
    std::unique_ptr<WorkspaceLimiter> m_Limiter;
    std::uint64_t m_Term = 0; ///< Term in which it leads, or has led.
    Instant m_FrozenUntil;
  };
  struct Event final {
    Instant m_At;
    std::uint64_t m_Number;
    std::function<void()> m_Work;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_At, Other.m_Number) < std::tie(m_At, m_Number);
    }
  };

  static inline const WorkspaceId Name{"w"};

  Clock makeClock() {
    Clock Made;
    Made.m_Offset = std::chrono::milliseconds(below(10'000));
    Made.m_Speed = 1 + std::uniform_real_distribution<>(
                           -m_Faults.m_Drift, m_Faults.m_Drift)(m_Random);
    return Made;
  }
  Instant time(const EntryHost &Entry) const {
    return Entry.m_Clock.read(m_Now);
  }

  void addEntryHost(std::size_t Index) {
    if (Index == m_Hosts.size())
      m_Hosts.push_back(std::make_unique<EntryHost>());
    EntryHost &Entry = *m_Hosts[Index];
    m_Refused += std::exchange(Entry.m_Waiting, 0);
    Entry.m_Clock = makeClock();
    ++Entry.m_Run;
    WorkspacePermits::Hooks Hooks;
    Hooks.m_Rate = [](const WorkspaceId &) { return 1; };
    Hooks.m_RequestWanted = [this, Index, Run = Entry.m_Run] {
      EntryHost &Wanting = *m_Hosts[Index];
      if (!std::exchange(Wanting.m_IsRequestScheduled, true))
        at(m_Now, [this, Index, Run] {
          whenRunning(Index, [this, Index, Run] { request(Index, Run); });
        });
      scheduleTick(Index);
    };
    Entry.m_Permits = std::make_unique<WorkspacePermits>(
        m_Faults.m_Omitted == OmittedRule::Expiry
            ? DriftBound{0, -std::chrono::hours(1)}
            : m_Settings.m_Drift,
        std::move(Hooks));
    Entry.m_IsRequestScheduled = false;
  }

  void scheduleTick(std::size_t Index) {
    if (std::exchange(m_Hosts[Index]->m_IsTickScheduled, true))
      return;
    at(m_Now + WorkspacePermits::TickInterval, [this, Index] {
      whenRunning(Index, [this, Index] {
        EntryHost &Entry = *m_Hosts[Index];
        Entry.m_IsTickScheduled = false;
        Entry.m_Permits->tick(time(Entry));
        settle(Entry);
        if (Entry.m_Permits->isActive())
          scheduleTick(Index);
      });
    });
  }

  /// Does \p Work now, or once \p Index is not frozen any more.
  void whenRunning(std::size_t Index, const std::function<void()> &Work) {
    const Instant Until = m_Hosts[Index]->m_FrozenUntil;
    if (m_Now >= Until)
      Work();
    else
      at(Until, [this, Index, Work] { whenRunning(Index, Work); });
  }

  /// Delivers a message between \p Host and control.
  void transmit(std::size_t Host, const std::function<void()> &Receive) {
    if (m_Now < m_Hosts[Host]->m_CutUntil || chance(m_Faults.m_Loss))
      return;
    const int Copies = chance(m_Faults.m_Duplication) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      at(m_Now + delay(), Receive);
  }
  Duration delay() {
    if (chance(m_Faults.m_LongDelay))
      return Duration(below(2'000'000));
    const auto Range = static_cast<std::uint64_t>(
        (m_Faults.m_MaxDelay - m_Faults.m_MinDelay).count());
    return m_Faults.m_MinDelay + Duration(below(Range + 1));
  }

  void request(std::size_t Index, std::uint64_t Run) {
    EntryHost &Entry = *m_Hosts[Index];
    if (Entry.m_Run != Run)
      return;
    Entry.m_IsRequestScheduled = false;
    const auto Request = Entry.m_Permits->nextRequest(time(Entry));
    if (!Request)
      return;
    ++m_Requests;
    Entry.m_SentAt = time(Entry);
    const std::uint64_t Number = Request->m_Number;
    const std::size_t Node =
        chance(m_Faults.m_WrongNode) ? below(ControlHosts) : m_Leader;
    transmit(Index, [this, Index, Run, Node, Request = *Request] {
      serve(Index, Run, Node, Request);
    });
    // The RPC layer reports a call as failed after its timeout.
    at(m_Now + std::chrono::seconds(1), [this, Index, Run, Number] {
      whenRunning(Index, [this, Index, Run, Number] {
        EntryHost &Caller = *m_Hosts[Index];
        if (Caller.m_Run == Run)
          Caller.m_Permits->failed(time(Caller), Number);
      });
    });
  }

  void serve(std::size_t Index, std::uint64_t Run, std::size_t Node,
             const PermitRequest &Request) {
    ControlHost &Control = *m_Leaders[Node];
    if (m_Now < Control.m_FrozenUntil) {
      at(Control.m_FrozenUntil, [this, Index, Run, Node, Request] {
        serve(Index, Run, Node, Request);
      });
      return;
    }
    // A node that never led answers that it does not lead.
    if (Control.m_Term == 0 || m_IsRemoved)
      return;
    const std::uint64_t Term = Control.m_Term;
    PermitGrants Grants;
    Grants.m_Validity = Control.m_Limiter->validity();
    for (const PermitDemand &Demand : Request.m_Demands)
      Grants.m_Grants.push_back(Control.m_Limiter->take(
          Control.m_Clock.read(m_Now), Demand, m_Limit));
    // A voter confirms the leader unless it has voted for another one before.
    at(m_Now + delay(), [this, Index, Run, Term, Request, Grants, &Control] {
      if (Term != m_Term && m_Faults.m_Omitted != OmittedRule::QuorumRound)
        return;
      at(m_Now + delay(), [this, Index, Run, Request, Grants, Term, &Control] {
        if (Control.m_Term != Term)
          return;
        transmit(Index, [this, Index, Run, Request, Grants] {
          whenRunning(Index, [this, Index, Run, Request, Grants] {
            receive(Index, Run, Request.m_Number, Grants);
          });
        });
      });
    });
  }

  void receive(std::size_t Index, std::uint64_t Run, std::uint64_t Number,
               PermitGrants Grants) {
    EntryHost &Entry = *m_Hosts[Index];
    if (Entry.m_Run != Run)
      return;
    if (m_Faults.m_Omitted == OmittedRule::ExpiryFromSending)
      Grants.m_Validity += time(Entry) - Entry.m_SentAt;
    const bool IsNew = Entry.m_Permits->answered(time(Entry), Number, Grants);
    if (!IsNew && m_Faults.m_Omitted == OmittedRule::AnswerOnce) {
      for (const PermitGrant &Grant : Grants.m_Grants)
        Entry.m_Repeated += Grant.m_Permits;
    }
    settle(Entry);
  }

  /// Sends or refuses the operations that wait.
  void settle(EntryHost &Entry) {
    while (Entry.m_Waiting > 0) {
      const PermitDecision Decision = Entry.m_Permits->check(time(Entry), Name);
      if (Decision == PermitDecision::Wait)
        return;
      --Entry.m_Waiting;
      Entry.m_Permits->endWait(Name);
      if (Decision == PermitDecision::Granted)
        send(Entry);
      else
        refuse(Entry);
    }
  }
  void send(EntryHost &Entry) {
    Entry.m_Permits->take(time(Entry), Name);
    m_Sent.push_back(m_Now);
  }
  void refuse(EntryHost &Entry) {
    Entry.m_Permits->refused(time(Entry), Name);
    ++m_Refused;
  }

  /// The highest rate and burst in force from one window before \p From until
  /// \p End.
  WorkspaceLimit highestLimit(Instant From, Instant End) const {
    WorkspaceLimit Highest;
    for (std::size_t Index = 0; Index < m_LimitLog.size(); ++Index) {
      const bool HasEnded =
          Index + 1 < m_LimitLog.size() &&
          m_LimitLog[Index + 1].first < From - m_Settings.m_Window;
      if (HasEnded || m_LimitLog[Index].first > End)
        continue;
      const WorkspaceLimit &Each = m_LimitLog[Index].second;
      Highest.m_RatePerSecond =
          std::max(Highest.m_RatePerSecond, Each.m_RatePerSecond);
      Highest.m_Burst = std::max(Highest.m_Burst, Each.m_Burst);
    }
    return Highest;
  }

  std::mt19937_64 m_Random;
  WorkspaceLimiterSettings m_Settings;
  WorkspaceLimit m_Limit;
  PermitFaults m_Faults;
  std::vector<std::unique_ptr<EntryHost>> m_Hosts;
  std::vector<std::unique_ptr<ControlHost>> m_Leaders;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_LastEvent = 0;
  Instant m_Now;
  std::size_t m_Leader = 0;
  std::uint64_t m_Term = 0;
  bool m_IsRemoved = false;
  std::vector<Instant> m_Sent;
  std::vector<std::pair<Instant, WorkspaceLimit>> m_LimitLog;
  std::size_t m_Arrived = 0;
  std::size_t m_Refused = 0;
  std::size_t m_Requests = 0;
};

} // namespace ragwortmux::test

#endif // TESTS_REQUEST_PERMITSIMULATION_H
