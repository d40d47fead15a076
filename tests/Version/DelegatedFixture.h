#ifndef TESTS_VERSION_DELEGATEDFIXTURE_H
#define TESTS_VERSION_DELEGATEDFIXTURE_H

#include "ragwortmux/Version/ControlLeader.h"
#include "ragwortmux/Version/ControlState.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ragwortmux::test {

using namespace std::chrono_literals;

inline const GroupId TheGroup("g");
inline const ServerId S1("s1");
inline const ServerId S2("s2");
inline const ServerId S3("s3");

/// A simulated backend server of a delegated group.
struct DelegatedServer final {
  bool m_Answers = true;   ///< Calls of the control leader reach it.
  bool m_Announces = true; ///< Its announcements reach the leader.
  bool m_Leaving = false;  ///< Its announcements state that it is leaving.
  bool m_HasEnded = false; ///< Its announcements state that it has ended.
  bool m_IsFull =
      false; ///< It refuses position calls with an error of its own.
  bool m_IsSlow =
      false; ///< Its answers are delayed until answerDelayedCalls().
  bool m_RefusesPromotion = false; ///< It refuses promote calls.
  Duration m_PromotionTime =
      300ms; ///< Time from a promote call to the primary role.
  BackendRole m_Role = BackendRole::Replica; ///< Its role.
  Term m_Term{7}; ///< Newest term that it knows or leads.
  LogPoint m_Point{Term(7), LogPosition(100)}; ///< Its log's last position.
  std::optional<Instant>
      m_PromotionDoneAt; ///< When a running promotion completes.
};

/// A control leader with three servers of a delegated group and two proxies.
struct DelegatedFixture {
  explicit DelegatedFixture(const ControlLeaderSettings &Settings = settings())
      : m_Leader(m_State, Settings) {
    for (std::uint64_t Proxy = 1; Proxy <= m_Proxies; ++Proxy)
      openProxy(Proxy);
    apply(ReplaceCatalogue{
        CatalogueVersion(1), "{}", {}, {{TheGroup, 30, m_SyncReplicas}}});
    m_Servers[S1].m_Role = BackendRole::Primary;
    m_Servers[S2];
    m_Servers[S3];
    m_Leader.becameLeader(m_Now);
    run(3s);
  }

  virtual ~DelegatedFixture() = default;

  static ControlLeaderSettings settings() {
    ControlLeaderSettings Settings;
    Settings.m_SilenceUnannounced = 4s;
    return Settings;
  }

  void openProxy(std::uint64_t Proxy) {
    apply(OpenSession{HostId("h" + std::to_string(Proxy)), Incarnation(1),
                      FailureDomainId("z"), "10.0.0.1", 1});
  }

  /// Lets \p Serving proxies serve the group. \p Stopped further ones have
  /// served it, but hold only shares of 0 now.
  void setProxies(std::uint64_t Serving, std::uint64_t Stopped) {
    while (m_Proxies < Serving + Stopped)
      openProxy(++m_Proxies);
    run(3s);
    m_Serving = Serving;
    run(3s);
    m_State.shares().forEachShareOf(TheGroup, [&](const ShareRecord &Share) {
      BOOST_TEST((Share.m_Share > 0) == (Share.m_Session.value() <= Serving));
    });
  }

  void run(Duration Length) {
    for (const Instant End = m_Now + Length; m_Now < End; m_Now += 10ms)
      step();
  }

  /// Runs until \p Holds and returns the time taken, 20 s if it never holds.
  template <typename Condition> Duration runUntil(Condition Holds) {
    const Instant Start = m_Now;
    while (!Holds() && m_Now - Start < 20s) {
      step();
      m_Now += 10ms;
    }
    return m_Now - Start;
  }

  void step() {
    if (++m_Steps % 120 == 1)
      announce();
    for (auto &[Id, Server] : m_Servers) {
      if (Server.m_PromotionDoneAt && m_Now >= *Server.m_PromotionDoneAt)
        completePromotion(Server);
    }
    m_Leader.tick(m_Now, WallTime(std::chrono::milliseconds(m_Steps)));
    for (std::uint64_t Session = 1; Session <= m_Proxies; ++Session) {
      if (m_Confirms && m_Steps % 30 == 0)
        renew(ControlSessionId(Session));
    }
    takeActions();
  }

  static ServerAnnouncement announcementOf(const ServerId &Server) {
    ServerAnnouncement Announcement;
    Announcement.m_Group = TheGroup;
    Announcement.m_Server = Server;
    Announcement.m_Domain = FailureDomainId("z");
    Announcement.m_Address = "10.0.0.2";
    Announcement.m_Port = 1;
    Announcement.m_Slots = 5;
    Announcement.m_Delegated = true;
    return Announcement;
  }

  void announce() {
    for (const auto &[Id, Server] : m_Servers) {
      if (!Server.m_Announces)
        continue;
      ServerAnnouncement Each = announcementOf(Id);
      Each.m_Role = Server.m_Role;
      Each.m_Leaving = Server.m_Leaving;
      Each.m_HasEnded = Server.m_HasEnded;
      Each.m_Incarnation = 1;
      Each.m_Sequence = ++m_Sequence;
      m_Leader.announcementReceived(Each, m_Now);
      takeActions();
    }
  }

  Term newestTerm() const {
    Term Newest;
    for (const auto &[Id, Server] : m_Servers)
      Newest = std::max(Newest, Server.m_Term);
    return Newest;
  }

  virtual void completePromotion(DelegatedServer &Server) {
    for (auto &[Id, Other] : m_Servers)
      Other.m_Role = BackendRole::Replica;
    Server.m_Role = BackendRole::Primary;
    Server.m_Term = Term(newestTerm().value() + 1);
    Server.m_Point.m_Term = Server.m_Term;
    Server.m_PromotionDoneAt.reset();
  }

  void renew(ControlSessionId Session) {
    LeaseRenewal Renewal;
    Renewal.m_Session = Session;
    Renewal.m_Sequence = ++m_Sequence;
    Renewal.m_Demand = m_Demands[Session.value()];
    if (m_Serving && Session.value() > *m_Serving)
      Renewal.m_ServedGroups = std::set<GroupId>();
    m_Leader.renewalReceived(Renewal, m_Now);
    takeActions();
  }

  void report(ControlSessionId Session, SuspicionKind Kind) {
    ServerSuspicion Suspicion;
    Suspicion.m_Session = Session;
    Suspicion.m_Group = TheGroup;
    Suspicion.m_Server = *m_State.groups().find(TheGroup)->m_Primary;
    Suspicion.m_Kind = Kind;
    m_Leader.suspicionReported(Suspicion, m_Now);
    takeActions();
  }

  void apply(const ControlCommand &Command) {
    const ControlResult Result = m_State.apply(Command);
    if (const auto *Appointed = std::get_if<AppointPrimary>(&Command))
      checkAppointment(Appointed->m_Server);
    m_Leader.applied(Command, Result, m_Now);
  }

  virtual void checkAppointment(const ServerId &Server) {
    BOOST_TEST((m_Servers.at(Server).m_Role == BackendRole::Primary));
  }

  void takeActions() {
    for (auto Actions = m_Leader.takeActions(); !Actions.empty();
         Actions = m_Leader.takeActions()) {
      for (const ControlAction &Action : Actions) {
        if (const auto *Each = std::get_if<Propose>(&Action))
          apply(Each->m_Command);
        else if (const auto *Each = std::get_if<ConfirmLeadership>(&Action))
          m_Leader.leadershipConfirmed(Each->m_Token, m_Now);
        else if (const auto *Each = std::get_if<PushGroupView>(&Action))
          push(*Each);
        else if (const auto *Each = std::get_if<CallBackend>(&Action))
          answer(*Each);
      }
    }
  }

  void push(const PushGroupView &Push) {
    if (m_Confirms)
      m_Leader.updateConfirmed(Push.m_Session, TheGroup, Push.m_View.m_Revision,
                               m_Now);
  }

  virtual void answer(const CallBackend &Call) {
    DelegatedServer &Server = m_Servers.at(Call.m_Server);
    if (Server.m_IsSlow) {
      m_DelayedCalls.push_back(Call);
      return;
    }
    BackendCallResult Result;
    Result.m_Call = Call.m_Call;
    Result.m_Ok = Server.m_Answers;
    Result.m_Role = Server.m_Role;
    Result.m_ServerTerm = Server.m_Term;
    Result.m_Point = Server.m_Point;
    if (Call.m_Kind == BackendCallKind::Position && Server.m_IsFull) {
      Result.m_Ok = false;
      Result.m_IsAlive = true;
    }
    if (Call.m_Kind == BackendCallKind::Promote) {
      m_Promoted.push_back(Call.m_Server);
      Result.m_Refused = Server.m_RefusesPromotion;
      Result.m_Ok = !Server.m_RefusesPromotion;
      const bool IsPresentPrimary = Server.m_Role == BackendRole::Primary &&
                                    Server.m_Term == newestTerm();
      if (Result.m_Ok && !IsPresentPrimary && !Server.m_PromotionDoneAt)
        Server.m_PromotionDoneAt = m_Now + Server.m_PromotionTime;
      if (m_LosesPromotionAnswers)
        return;
    }
    m_Leader.backendCallCompleted(Result, m_Now);
  }

  /// Delivers the answers that \p Server delayed while it was slow.
  void answerDelayedCalls(DelegatedServer &Server) {
    Server.m_IsSlow = false;
    for (const CallBackend &Call : std::exchange(m_DelayedCalls, {}))
      answer(Call);
  }

  const GroupRecord &group() const { return *m_State.groups().find(TheGroup); }
  bool isPrimary(const ServerId &Server) const {
    return group().m_Primary == Server;
  }

  Instant m_Now{1h};
  std::uint32_t m_SyncReplicas = 0;
  std::uint64_t m_Proxies = 2; ///< Sessions 1 to this are open.
  std::optional<std::uint64_t>
      m_Serving; ///< Sessions 1 to this serve the group; none: all do.
  ControlState m_State;
  ControlLeader m_Leader;
  std::map<ServerId, DelegatedServer> m_Servers;
  std::vector<ServerId> m_Promoted;
  std::vector<CallBackend> m_DelayedCalls;
  bool m_Confirms = true;
  std::map<std::uint64_t, std::vector<ShareDemand>>
      m_Demands; ///< Demand that each session reports with its renewals.
  bool m_LosesPromotionAnswers = false;
  std::uint64_t m_Steps = 0;
  std::uint64_t m_Sequence = 0;
};

} // namespace ragwortmux::test

#endif // TESTS_VERSION_DELEGATEDFIXTURE_H
