#ifndef TESTS_VERSION_LEADERHARNESS_H
#define TESTS_VERSION_LEADERHARNESS_H

#include "StateBuilder.h"

#include "ragwortmux/Version/ControlLeader.h"
#include "ragwortmux/Version/ProxyLease.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace ragwortmux::test {

using namespace std::chrono_literals;

/// A proxy as the leader sees it: renews, takes records and confirms them.
struct FakeProxy final {
  std::string m_Host;                ///< Its host.
  std::uint64_t m_Run = 0;           ///< Its incarnation.
  ControlSessionId m_Session;        ///< Its session.
  bool m_ReachesControl = true;      ///< Messages pass both ways.
  bool m_Confirms = true;            ///< Takes pushed records.
  bool m_ConfirmsHomes = true;       ///< Takes pushed session homes.
  double m_ClockRate = 1;            ///< Of its clock to the true one.
  Instant m_ClockBase{};             ///< Its clock at m_TrueBase.
  Instant m_TrueBase{};              ///< When the rate was set.
  ProxyLease m_Lease;                ///< Measured on its clock.
  std::optional<GroupView> m_View;   ///< The record that it acts by.
  std::vector<ShareDemand> m_Demand; ///< Sent with renewals.

  /// Its clock goes on from \p Now at another rate.
  void setClockRate(double Rate, Instant Now) {
    m_ClockBase = local(Now);
    m_TrueBase = Now;
    m_ClockRate = Rate;
  }
  /// Its clock at \p Now.
  Instant local(Instant Now) const {
    return m_ClockBase + std::chrono::duration_cast<Duration>(
                             (Now - m_TrueBase) * m_ClockRate);
  }
  /// The term in which it would acknowledge a write now, if any.
  std::optional<Term> acknowledges(Instant Now) const;
};

/// A backend server with an asynchronous log.
struct FakeServer final {
  ServerId m_Server;                         ///< Its id.
  bool m_Up = true;                          ///< Runs.
  bool m_ReachesControl = true;              ///< Control's calls arrive.
  bool m_Announces = true;                   ///< Its announcements arrive.
  bool m_Leaving = false;                    ///< Announces so.
  bool m_Applies = true;                     ///< A replica keeps up.
  BackendRole m_Role = BackendRole::Replica; ///< Its role.
  LogPoint m_Point;                          ///< Its log.
  Term m_Known;                              ///< Refuses lower terms.
  std::size_t m_Promotions = 0;              ///< Terms it became primary of.
};

/// A leader between fake proxies and servers in steps of 10 ms. Checks after
/// each step that nobody acknowledges writes of a replaced primary and that no
/// appointed primary lacks an acknowledged write.
class LeaderHarness final {
public:
  /// Three proxies and three servers; s1 is primary.
  explicit LeaderHarness(const ControlLeaderSettings &Settings = {});

  /// Lets \p Length pass.
  void run(Duration Length);
  /// Lets time pass until \p Holds; returns how long, fails after \p Limit.
  Duration runUntil(const std::function<bool()> &Holds, Duration Limit = 10s);
  /// Another process becomes leader; what was under way is lost.
  void changeLeader();
  /// A proxy opens its first session, or a new one after a restart.
  void open(FakeProxy &Proxy);

  const GroupRecord &group() const { return *m_State.groups().find(TheGroup); }
  SyncState sync(const std::string &Server) const {
    return group().m_Servers.at(ServerId(Server)).m_Sync;
  }
  FakeServer &server(const std::string &Server) {
    return m_Servers.at(ServerId(Server));
  }
  FakeServer &primary() { return m_Servers.at(*group().m_Primary); }
  /// A primary is promoted and all running servers follow it.
  bool isSettled() const;
  /// Settled, and all running servers are in sync.
  bool isInSync() const;

  ControlState m_State;                     ///< The replicated state.
  std::unique_ptr<ControlLeader> m_Leader;  ///< The leader.
  std::deque<FakeProxy> m_Proxies;          ///< By session.
  std::map<ServerId, FakeServer> m_Servers; ///< By id.
  Instant m_Now{std::chrono::hours(1)};     ///< True time.
  Duration m_Delay{0};     ///< Of each message, proposal and call, one way.
  bool m_HasQuorum = true; ///< Proposals and rounds get through.
  std::vector<std::string> m_Notes; ///< Lines of the time line.
  std::function<void(const ServerId &)> m_OnAppoint; ///< Before it is applied.
  std::function<bool(const CallBackend &)> m_DropCall; ///< True: call is lost.

private:
  void step();
  void announce();
  void later(Duration Delay, std::function<void()> Event);
  void arrive();
  void renew();
  void replicate();
  void acknowledge();
  void takeActions();
  void handle(const Propose &Action);
  void handle(const ConfirmLeadership &Action);
  void handle(const GrantRenewal &Action);
  void handle(const RefuseRenewal &Action);
  void handle(const PushGroupView &Action);
  void handle(const PushCatalogue &Action);
  void handle(const PushSessionHomes &Action);
  void handle(const CallBackend &Action);
  void handle(const Note &Action) { m_Notes.push_back(Action.m_Text); }
  void apply(const ControlCommand &Command);
  void take(FakeProxy &Proxy, const GroupView &View);
  FakeProxy *reachable(ControlSessionId Session);
  BackendCallResult answer(const CallBackend &Action);

  ControlLeaderSettings m_Settings;                      ///< Of all leaders.
  std::multimap<Instant, std::function<void()>> m_Later; ///< Under way.
  LogPosition m_Acknowledged; ///< The highest acknowledged position.
  std::uint64_t m_Steps = 0;  ///< Steps done.
};

} // namespace ragwortmux::test

#endif // TESTS_VERSION_LEADERHARNESS_H
