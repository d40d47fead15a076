#ifndef TESTS_VERSION_PROMOTIONRUN_H
#define TESTS_VERSION_PROMOTIONRUN_H

#include "DelegatedFixture.h"

#include <functional>
#include <random>

namespace ragwortmux::test {

/// A delegated group in a random schedule of faults. The servers behave as the
/// users' platform has it: a promotion takes effect some hundred milliseconds
/// after the order and begins the next term; the primary before goes on until
/// it has reached the new one for a second; a server that crashes comes back as
/// a replica if another one was promoted.
struct PromotionRun : DelegatedFixture {
  explicit PromotionRun(unsigned Seed) : m_Random(Seed) {}

  /// True with a probability of one in \p Count.
  bool oneIn(unsigned Count) { return m_Random() % Count == 0; }
  Duration randomTime(unsigned FromMs, unsigned ToMs) {
    return std::chrono::milliseconds(FromMs + m_Random() % (ToMs - FromMs));
  }

  /// Plays faults for \p Length.
  void playFaults(Duration Length) {
    m_HasFaults = true;
    play(Length);
    m_HasFaults = false;
    heal();
  }

  void play(Duration Length) {
    for (const Instant End = m_Now + Length; m_Now < End; m_Now += 10ms) {
      if (m_HasFaults && m_Steps % 5 == 0)
        disturb();
      deliver();
      replicate();
      if (m_Steps % 10 == 0)
        reportPrimary();
      step();
    }
  }

  void disturb() {
    for (auto &[Id, Server] : m_Servers) {
      for (std::set<ServerId> *Affected :
           {&m_Crashed, &m_CutFromControl, &m_CutFromServers, &m_CutFromHosts})
        disturb(*Affected, Id);
      Server.m_Announces =
          !m_Crashed.contains(Id) && !m_CutFromControl.contains(Id);
    }
    if (oneIn(200))
      changeLeader();
    if (oneIn(m_IsPlatformCut ? 50 : 250))
      m_IsPlatformCut = !m_IsPlatformCut;
  }

  /// Faults that follow an order at once.
  void disturbOrder(const ServerId &Target) {
    if (oneIn(4))
      sendFault(randomTime(0, 600), [this] { changeLeader(); });
    if (oneIn(4))
      sendFault(randomTime(0, 1500), [this, Target] { crash(Target); });
    if (oneIn(4))
      sendFault(randomTime(0, 1500),
                [this, Target] { m_CutFromControl.insert(Target); });
  }

  void sendFault(Duration Delay, const std::function<void()> &Fault) {
    send(Delay, [this, Fault] {
      if (m_HasFaults)
        Fault();
    });
  }

  void crash(const ServerId &Id) {
    m_Crashed.insert(Id);
    m_Servers[Id].m_PromotionDoneAt.reset();
  }

  void disturb(std::set<ServerId> &Affected, const ServerId &Id) {
    const bool IsAffected = Affected.contains(Id);
    if (IsAffected && oneIn(50)) {
      Affected.erase(Id);
      if (&Affected == &m_Crashed)
        restart(Id);
    } else if (!IsAffected && oneIn(180)) {
      Affected.insert(Id);
      if (&Affected == &m_Crashed)
        crash(Id);
    }
  }

  void restart(const ServerId &Id) {
    m_Servers[Id].m_Role =
        Id == m_Newest ? BackendRole::Primary : BackendRole::Replica;
  }

  void changeLeader() {
    m_Leader.lostLeadership(m_Now);
    m_Leader.becameLeader(m_Now);
  }

  /// Ends all faults.
  void heal() {
    for (const ServerId &Id : std::exchange(m_Crashed, {}))
      restart(Id);
    m_CutFromControl.clear();
    m_CutFromServers.clear();
    m_CutFromHosts.clear();
    m_IsPlatformCut = false;
    for (auto &[Id, Server] : m_Servers)
      Server.m_Announces = true;
  }

  /// Delivers the messages whose time has come.
  void deliver() {
    while (!m_Messages.empty() && m_Messages.begin()->first <= m_Now) {
      const auto Message = std::move(m_Messages.begin()->second);
      m_Messages.erase(m_Messages.begin());
      Message();
    }
  }

  void send(Duration Delay, std::function<void()> Message) {
    m_Messages.emplace(m_Now + Delay, std::move(Message));
  }

  /// Lets the primary of the newest term commit, and the servers that it
  /// reaches follow it.
  void replicate() {
    DelegatedServer &Leading = m_Servers[m_Newest];
    if (m_Crashed.contains(m_Newest))
      return;
    if (group().m_Primary == m_Newest)
      Leading.m_Point = {Leading.m_Term,
                         LogPosition(Leading.m_Point.m_Position.value() + 1)};
    for (auto &[Id, Server] : m_Servers) {
      const bool IsReached = Id != m_Newest && !m_Crashed.contains(Id) &&
                             !m_CutFromServers.contains(Id) &&
                             !m_CutFromServers.contains(m_Newest);
      if (!IsReached) {
        m_ReachedSince.erase(Id);
        continue;
      }
      const Instant Since = m_ReachedSince.try_emplace(Id, m_Now).first->second;
      if (Server.m_Role == BackendRole::Primary && m_Now - Since < 1s)
        continue;
      Server.m_Role = BackendRole::Replica;
      Server.m_Term = Leading.m_Term;
      if (m_Now - Since >= 100ms)
        Server.m_Point = Leading.m_Point;
    }
  }

  /// The entry hosts report a primary that they do not reach.
  void reportPrimary() {
    const auto Primary = group().m_Primary;
    if (!Primary)
      return;
    std::optional<SuspicionKind> Kind;
    if (m_Crashed.contains(*Primary))
      Kind = SuspicionKind::ConnectRefused;
    else if (m_CutFromHosts.contains(*Primary))
      Kind = SuspicionKind::Silent;
    else if (m_Servers[*Primary].m_Role == BackendRole::Replica)
      Kind = SuspicionKind::NotPrimary;
    if (!Kind)
      return;
    for (const std::uint64_t Session : {1U, 2U})
      report(ControlSessionId(Session), *Kind);
  }

  void completePromotion(DelegatedServer &Server) override {
    ++m_Promotions;
    m_NewestTerm = Term(m_NewestTerm.value() + 1);
    Server.m_Role = BackendRole::Primary;
    Server.m_Term = m_NewestTerm;
    Server.m_PromotionDoneAt.reset();
    for (const auto &[Id, Each] : m_Servers) {
      if (&Each == &Server)
        m_Newest = Id;
    }
    // Another server has been appointed meanwhile.
    if (group().m_Primary && group().m_Primary != m_Newest)
      ++m_LatePromotions;
    m_ReachedSince.clear();
  }

  /// A call reaches its server or the platform late or never, and so does the
  /// answer. A call without an answer fails after its time-out.
  void answer(const CallBackend &Call) override {
    const bool IsOrder = Call.m_Kind == BackendCallKind::Promote;
    const bool IsCut =
        IsOrder ? m_IsPlatformCut : m_CutFromControl.contains(Call.m_Server);
    BackendCallResult Failed;
    Failed.m_Call = Call.m_Call;
    send(Call.m_Timeout, [this, Failed] { complete(Failed); });
    if (IsCut || isLost(10))
      return;
    if (IsOrder)
      disturbOrder(Call.m_Server);
    const bool IsAnswerLost = isLost(IsOrder ? 4 : 10);
    const Duration Back = randomTime(0, 200);
    send(randomTime(0, 250), [=, this] {
      const BackendCallResult Result = IsOrder ? promote(Call) : position(Call);
      if (!IsAnswerLost)
        send(Back, [this, Result] { complete(Result); });
    });
  }

  bool isLost(unsigned Count) { return m_HasFaults && oneIn(Count); }

  void complete(const BackendCallResult &Result) {
    m_Leader.backendCallCompleted(Result, m_Now);
    takeActions();
  }

  BackendCallResult position(const CallBackend &Call) {
    const DelegatedServer &Server = m_Servers.at(Call.m_Server);
    BackendCallResult Result;
    Result.m_Call = Call.m_Call;
    Result.m_Ok = !m_Crashed.contains(Call.m_Server);
    Result.m_Role = Server.m_Role;
    Result.m_ServerTerm = Server.m_Term;
    Result.m_Point = Server.m_Point;
    return Result;
  }

  BackendCallResult promote(const CallBackend &Call) {
    DelegatedServer &Server = m_Servers.at(Call.m_Server);
    BackendCallResult Result;
    Result.m_Call = Call.m_Call;
    Result.m_Refused = m_Crashed.contains(Call.m_Server);
    Result.m_Ok = !Result.m_Refused;
    // Nothing changes for the present primary.
    if (Result.m_Ok && Call.m_Server != m_Newest && !Server.m_PromotionDoneAt)
      Server.m_PromotionDoneAt = m_Now + randomTime(200, 900);
    return Result;
  }

  void checkAppointment(const ServerId &Server) override {
    ++m_Appointments;
    if (Server != m_Newest)
      ++m_WrongAppointments;
  }

  std::mt19937 m_Random;
  std::set<ServerId> m_Crashed;
  std::set<ServerId> m_CutFromControl; ///< No calls and no announcements.
  std::set<ServerId> m_CutFromServers; ///< They reach no other server.
  std::set<ServerId> m_CutFromHosts;   ///< The entry hosts do not reach them.
  bool m_HasFaults = false;            ///< Faults begin and end at random.
  bool m_IsPlatformCut = false;        ///< Orders do not reach the platform.
  std::multimap<Instant, std::function<void()>> m_Messages; ///< On their way.
  std::map<ServerId, Instant>
      m_ReachedSince;           ///< Since when each reaches the newest primary.
  ServerId m_Newest = S1;       ///< The server that was promoted last.
  Term m_NewestTerm{7};         ///< Its term.
  std::size_t m_Promotions = 0; ///< Promotions that took effect.
  std::size_t m_Appointments = 0;      ///< Appointments so far.
  std::size_t m_WrongAppointments = 0; ///< Those of other servers.
  std::size_t m_LatePromotions = 0; ///< Promotions that took effect after the
                                    ///< appointment of another server.
};

} // namespace ragwortmux::test

#endif // TESTS_VERSION_PROMOTIONRUN_H
