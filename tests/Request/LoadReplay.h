#ifndef TESTS_REQUEST_LOADREPLAY_H
#define TESTS_REQUEST_LOADREPLAY_H

#include "SessionFixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace ragwortmux::test {

/// A load pattern. Rates are those of one of the eight groups of deployment B.
struct LoadPattern final {
  const char *m_Name;                ///< Name of the pattern.
  double m_ClassFactors[3]{1, 1, 1}; ///< Rate of a class during the burst.
  double m_LargeFactor = 1;          ///< Rate of the large workspace meanwhile.
  double m_MidFactor = 1;     ///< Rate of the mid-sized workspace meanwhile.
  int m_IdleTransactions = 0; ///< Callers that idle inside a transaction.
  int m_LostPercent = 0;      ///< Answers of S2 that are lost.
  bool m_HasWaves = false;    ///< Demand comes and goes in waves of 11 s.
  bool m_IsS3CutOff = false;  ///< S3 is partitioned off.
  Duration m_Length = milliseconds(6500); ///< Length of the burst.
};

inline std::ostream &operator<<(std::ostream &Out, const LoadPattern &Pattern) {
  return Out << Pattern.m_Name;
}

/// Outcome of the statements of a class or workspace.
struct ReplayResult final {
  std::size_t m_Count = 0;           ///< Statements.
  std::size_t m_InTime = 0;          ///< Answered within their target.
  std::size_t m_Refused = 0;         ///< Refused with NotRunQueueFull.
  std::vector<Duration> m_Latencies; ///< 10 s for what was not answered.
  double share() const {
    return static_cast<double>(m_InTime) /
           static_cast<double>(std::max<std::size_t>(1, m_Count));
  }
  Duration p99() {
    std::ranges::sort(m_Latencies);
    return m_Latencies.empty() ? Duration(0)
                               : m_Latencies[m_Latencies.size() * 99 / 100];
  }
};

/// Replays a load pattern against a SessionCore with a simulated clock and
/// three servers that have slots and service times.
class LoadReplay final {
public:
  /// Before: no load shedding, and all callers in one workspace.
  LoadReplay(const LoadPattern &Pattern, bool IsAfter)
      : m_Pattern(Pattern), m_IsAfter(IsAfter), m_Core(Group, settings()) {}

  void run() {
    m_Core.setUsesWorkspaces(m_IsAfter);
    setView();
    call([&] { m_Core.leaseExtended(m_Now, m_Now + seconds(100), m_Actions); });
    for (int Class = 0; Class < 3; ++Class) {
      for (std::size_t Index = 0; Index < Weights.size(); ++Index)
        scheduleArrival(Class, Index);
    }
    for (int Index = 0; Index < m_Pattern.m_IdleTransactions; ++Index)
      at(BurstStart + milliseconds(Index), [this] {
        submit({2, 1, 1, ++m_LastCaller, true}, 0);
      });
    while (!m_Events.empty()) {
      const auto Timer = m_Core.nextDeadline();
      const Instant Next = m_Events.begin()->first;
      if (Timer && std::max(m_Now + milliseconds(1), *Timer) < Next) {
        m_Now = std::max(m_Now + milliseconds(1), *Timer);
        call([&] { m_Core.tick(m_Now, m_Actions); });
        continue;
      }
      m_Now = std::max(m_Now, Next);
      const auto Event = m_Events.extract(m_Events.begin()).mapped();
      call(Event);
    }
  }

  /// Result of the classes \p FromClass to \p ToClass and the workspaces
  /// from \p FromWorkspace on, which are ordered from large to small.
  ReplayResult result(int FromClass = 0, int ToClass = 2,
                      std::size_t FromWorkspace = 0) const {
    ReplayResult Sum;
    for (const auto &[Key, Each] : m_Results) {
      if (Key.first < FromClass || Key.first > ToClass ||
          Key.second < FromWorkspace)
        continue;
      Sum.m_Count += Each.m_Count;
      Sum.m_InTime += Each.m_InTime;
      Sum.m_Refused += Each.m_Refused;
      Sum.m_Latencies.insert(Sum.m_Latencies.end(), Each.m_Latencies.begin(),
                             Each.m_Latencies.end());
    }
    return Sum;
  }

  std::size_t m_Sent = 0;     ///< Statements sent to servers, retries included.
  std::size_t m_Executed = 0; ///< Statements that a server has run.
  std::size_t m_RefusedButRun = 0; ///< Refused as not run, wrongly.
  static constexpr std::array Weights = {0.30, 0.15, 0.08, 0.08, 0.07, 0.07,
                                         0.06, 0.06, 0.05, 0.04, 0.03, 0.01};

private:
  /// An operation: a statement, or a transaction of four.
  struct Operation final {
    int m_Class = 0;
    std::size_t m_Workspace = 0;
    int m_Kind = 0; ///< 0: read, 1: transaction, 2: write.
    std::uint64_t m_Caller = 0;
    bool m_StaysIdle = false; ///< Begins a transaction and sends no more.
  };
  struct Sent final {
    Operation m_Operation;
    int m_Step = 0;
    Instant m_At;
  };
  static constexpr Instant Begin{seconds(100)};
  static constexpr Instant BurstStart = Begin + seconds(3);
  static constexpr Instant End = Begin + seconds(14);
  static constexpr Duration Targets[] = {milliseconds(200), milliseconds(400),
                                         milliseconds(1200)};

  SessionCoreSettings settings() const {
    SessionCoreSettings Settings = SessionFixture::settings();
    Settings.m_ShedLoad = m_IsAfter;
    return Settings;
  }
  void setView() {
    GroupView View;
    View.m_Group = Group;
    View.m_Revision = Revision(1);
    View.m_Term = Term(1);
    View.m_Primary = S1;
    for (const ServerId &Server : {S1, S2, S3}) {
      ServerView Each;
      Each.m_Server = Server;
      Each.m_Domain = FailureDomainId(Server == S2 ? "near" : "far");
      Each.m_Announced = Server != S3 || !m_Pattern.m_IsS3CutOff;
      Each.m_ConnectionShare = 24;
      Each.m_Slots = 5;
      View.m_Servers.push_back(Each);
    }
    call([&] { m_Core.viewChanged(m_Now, View, m_Actions); });
  }
  void at(Instant When, std::function<void()> Event) {
    m_Events.emplace(When, std::move(Event));
  }
  double random() { return std::uniform_real_distribution<>()(m_Services); }

  double arrivalRandom() {
    return std::uniform_real_distribution<>()(m_Arrivals);
  }

  double factor(int Class, std::size_t Workspace) const {
    double Factor = 1;
    if (m_Now >= BurstStart && m_Now < BurstStart + m_Pattern.m_Length) {
      Factor = m_Pattern.m_ClassFactors[Class];
      Factor *= Workspace == 0   ? m_Pattern.m_LargeFactor
                : Workspace == 1 ? m_Pattern.m_MidFactor
                                 : 1;
    }
    const auto Phase = (m_Now - Begin).count() % 11'000'000;
    if (m_Pattern.m_HasWaves)
      Factor *= Phase < 5'500'000 ? 2.2 : 0.3;
    return Factor;
  }
  void scheduleArrival(int Class, std::size_t Workspace) {
    constexpr double MaxFactor = 60;
    constexpr double PerSecond[] = {126. / 8, 591. / 8, 219. / 8};
    constexpr double Writes[] = {0.2, 0.12, 0};
    constexpr double Transactions[] = {0.4, 0.12, 0.1};
    const double Rate = PerSecond[Class] * Weights[Workspace] * MaxFactor;
    const Instant Next =
        m_Now + Duration(static_cast<std::int64_t>(
                    std::exponential_distribution<>(Rate)(m_Arrivals) * 1e6));
    if (Next >= End)
      return;
    at(Next, [=, this] {
      const double Accept = arrivalRandom();
      const double Pick = arrivalRandom();
      if (Accept * MaxFactor < factor(Class, Workspace)) {
        const int Kind = Pick < Writes[Class]                         ? 2
                         : Pick < Writes[Class] + Transactions[Class] ? 1
                                                                      : 0;
        submit({Class, Workspace, Kind, ++m_LastCaller}, 0);
      }
      scheduleArrival(Class, Workspace);
    });
  }
  void submit(const Operation &Of, int Step) {
    constexpr TrafficClass Classes[] = {TrafficClass::PrimarySession,
                                        TrafficClass::OwnWritesSession,
                                        TrafficClass::AgedSession};
    constexpr StatementKind Steps[] = {
        StatementKind::Begin, StatementKind::Read, StatementKind::Write,
        StatementKind::Commit};
    auto Entry = std::make_shared<CatalogueEntry>();
    Entry->m_Class = Classes[Of.m_Class];
    Entry->m_Limits.m_RequestDeadline = seconds(Of.m_Class == 2 ? 10 : 3);
    Entry->m_Limits.m_LatencyTarget = Targets[Of.m_Class];
    Entry->m_Limits.m_Priority = static_cast<std::uint32_t>(Of.m_Class);
    Entry->m_Limits.m_MaxAge = milliseconds(1500);
    Entry->m_Limits.m_TransactionIdle = seconds(2);
    SessionRequest Request;
    Request.m_Id = RequestId(++m_LastRequest);
    Request.m_Caller = CallerConnectionId(Of.m_Caller);
    Request.m_Entry = Entry;
    if (m_IsAfter)
      Request.m_Workspace = WorkspaceId("w" + std::to_string(Of.m_Workspace));
    Request.m_Statement.m_Kind = Of.m_Kind == 1   ? Steps[Step]
                                 : Of.m_Kind == 2 ? StatementKind::Write
                                                  : StatementKind::Read;
    if (Of.m_Class == 2 && Request.m_Statement.m_Kind == StatementKind::Begin)
      Request.m_Statement.m_Kind = StatementKind::BeginRead;
    if (Of.m_Class == 2 && Request.m_Statement.m_Kind == StatementKind::Write)
      Request.m_Statement.m_Kind = StatementKind::Read;
    Request.m_Statement.m_Writes =
        Request.m_Statement.m_Kind == StatementKind::Write;
    Request.m_Statement.m_Id = StatementId(std::to_string(m_LastRequest));
    Request.m_State = std::make_shared<SessionState>();
    Request.m_Arrived = m_Now;
    m_Submitted[Request.m_Id] = {Of, Step, m_Now};
    m_Core.submit(m_Now, Request, m_Actions);
  }
  void answered(const SessionAnswer &Answer) {
    const Sent Of = m_Submitted.extract(Answer.m_Request).mapped();
    const bool IsOk = Answer.m_Code == ResultCode::Ok;
    const bool IsRefused = Answer.m_Code == ResultCode::NotRunQueueFull;
    m_RefusedButRun +=
        IsRefused
            ? m_ExecutedIds.count(std::to_string(Answer.m_Request.value()))
            : 0;
    if (!Of.m_Operation.m_StaysIdle) {
      ReplayResult &Result =
          m_Results[{Of.m_Operation.m_Class, Of.m_Operation.m_Workspace}];
      const Duration Took = m_Now - Of.m_At;
      const bool IsInTime = IsOk && Took <= Targets[Of.m_Operation.m_Class];
      ++Result.m_Count;
      Result.m_InTime += IsInTime ? 1 : 0;
      Result.m_Refused += IsRefused ? 1 : 0;
      Result.m_Latencies.push_back(IsOk ? Took : seconds(10));
    }
    if (IsOk && Of.m_Operation.m_Kind == 1 && Of.m_Step < 3 &&
        !Of.m_Operation.m_StaysIdle)
      at(m_Now, [=, this] { submit(Of.m_Operation, Of.m_Step + 1); });
  }
  void runStatement(const RunStatement &Run) {
    const ConnectionId Connection = Run.m_Connection;
    const ServerId Server = m_Connections.at(Connection);
    m_Sent += Run.m_IsInternal ? 0 : 1;
    StatementReply Reply;
    const auto Ms =
        static_cast<std::uint64_t>(m_Now.time_since_epoch() / milliseconds(1));
    Reply.m_Point = SessionFixture::point(Server == S1 ? Ms : Ms - 60);
    const StatementKind Kind = Run.m_Statement.m_Kind;
    const bool WasOpen = m_Open.contains(Connection);
    Reply.m_Status = WasOpen ? Open : Idle;
    if (m_Running[Server] >= 5)
      Reply.m_Outcome = StatementOutcome::Busy;
    else if (Run.m_Floor && isBefore(*Reply.m_Point, *Run.m_Floor))
      Reply.m_Outcome = StatementOutcome::Behind;
    const bool Runs = Reply.m_Outcome == StatementOutcome::Done;
    const Duration Took(
        Runs ? static_cast<std::int64_t>((0.5 + random()) * 25'000) : 1000);
    m_Running[Server] += Runs ? 1 : 0;
    const bool IsLost =
        Server == S2 && Runs && random() * 100 < m_Pattern.m_LostPercent;
    if (Runs) {
      ++m_Executed;
      m_ExecutedIds.insert(Run.m_Statement.m_Id.value());
      if (isBegin(Kind))
        m_Open.insert(Connection);
      if (Kind == StatementKind::Commit || Kind == StatementKind::Rollback)
        m_Open.erase(Connection);
      Reply.m_Status = m_Open.contains(Connection) ? Open : Idle;
    }
    at(m_Now + Took, [=, this] {
      m_Running[Server] -= Runs ? 1 : 0;
      if (!m_Connections.contains(Connection))
        return;
      if (IsLost && m_Connections.erase(Connection) > 0)
        m_Core.connectionLost(m_Now, Connection, m_Actions);
      else
        m_Core.statementAnswered(m_Now, Connection, Reply, m_Actions);
    });
  }
  void call(const std::function<void()> &Event) {
    Event();
    while (!m_Actions.empty()) {
      for (const SessionAction &Action : std::exchange(m_Actions, {})) {
        if (const auto *Opening = std::get_if<OpenSessionConnection>(&Action)) {
          const OpenSessionConnection New = *Opening;
          m_Connections[New.m_Connection] = New.m_Server;
          at(m_Now + milliseconds(12), [=, this] {
            m_Core.connectionOpened(m_Now, New.m_Connection, m_Actions);
          });
        } else if (const auto *Close =
                       std::get_if<CloseSessionConnection>(&Action)) {
          m_Connections.erase(Close->m_Connection);
          m_Open.erase(Close->m_Connection);
        } else if (const auto *Run = std::get_if<RunStatement>(&Action)) {
          runStatement(*Run);
        } else if (const auto *Probe = std::get_if<ProbeConnection>(&Action)) {
          const ConnectionId Probed = Probe->m_Connection;
          at(m_Now + milliseconds(1), [=, this] {
            m_Core.statementAnswered(m_Now, Probed, {}, m_Actions);
          });
        } else if (const auto *Answer = std::get_if<SessionAnswer>(&Action)) {
          answered(*Answer);
        }
      }
    }
  }

  LoadPattern m_Pattern;
  bool m_IsAfter;
  Instant m_Now = Begin;
  SessionCore m_Core;
  SessionActions m_Actions;
  std::mt19937 m_Arrivals{11}; // NOLINT(cert-msc51-cpp): repeatable
  std::mt19937 m_Services{12}; // NOLINT(cert-msc51-cpp): repeatable
  std::multimap<Instant, std::function<void()>> m_Events;
  std::map<RequestId, Sent> m_Submitted;
  std::map<ConnectionId, ServerId> m_Connections;
  std::set<ConnectionId> m_Open; ///< Connections with a transaction.
  std::map<ServerId, int> m_Running;
  std::set<std::string> m_ExecutedIds;
  std::map<std::pair<int, std::size_t>, ReplayResult>
      m_Results; ///< By class and workspace.
  std::uint64_t m_LastCaller = 0;
  std::uint64_t m_LastRequest = 0;
};

} // namespace ragwortmux::test

#endif // TESTS_REQUEST_LOADREPLAY_H
