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

/// A simulated proxy that renews its lease and applies and confirms records.
struct FakeProxy final {
  std::string m_Host;           ///< Its host.
  std::uint64_t m_Run = 0;      ///< Its incarnation.
  ControlSessionId m_Session;   ///< Its session.
  bool m_ReachesControl = true; ///< Messages to and from control are delivered.
  bool m_Confirms = true;       ///< It applies and confirms pushed records.
  bool m_ConfirmsHomes = true;  ///< It applies and confirms session homes.
  double m_ClockRate = 1;       ///< Rate of its clock relative to true time.
  Instant m_ClockBase{};        ///< Time of its clock at m_TrueBase.
  Instant m_TrueBase{};         ///< True time at which the rate was set.
  ProxyLease m_Lease;           ///< Its lease, measured by its clock.
  std::optional<GroupView> m_View;   ///< The group record that it applies.
  Revision m_Catalogue;              ///< Catalogue that it applies.
  Revision m_Homes;                  ///< Session homes that it applies.
  std::vector<ShareDemand> m_Demand; ///< Demand that it sends with renewals.

  /// Continues its clock from \p Now at another rate.
  void setClockRate(double Rate, Instant Now) {
    m_ClockBase = local(Now);
    m_TrueBase = Now;
    m_ClockRate = Rate;
  }
  /// Time of its clock at true time \p Now.
  Instant local(Instant Now) const {
    return m_ClockBase + std::chrono::duration_cast<Duration>(
                             (Now - m_TrueBase) * m_ClockRate);
  }
  /// The term in which it may acknowledge a write at \p Now; none if it may
  /// not.
  std::optional<Term> acknowledges(Instant Now) const;
};

/// A simulated backend server whose replicas copy the primary's log.
struct FakeServer final {
  ServerId m_Server;            ///< Its id.
  bool m_Up = true;             ///< It is running.
  bool m_ReachesControl = true; ///< Calls of the control leader reach it.
  bool m_Announces = true;      ///< Its announcements reach the leader.
  bool m_Leaving = false;       ///< Its announcements state that it is leaving.
  bool m_Applies = true;        ///< As a replica, it applies the primary's log.
  BackendRole m_Role = BackendRole::Replica; ///< Its role.
  LogPoint m_Point;                          ///< Term and end of its log.
  Term m_HighestTerm; ///< Highest term of a call; it refuses calls of lower
                      ///< terms.
  std::size_t m_Promotions = 0; ///< Number of terms in which it became primary.
};

/// Runs a control leader with simulated proxies and servers in steps of 10 ms.
/// Checks after each step that no proxy acknowledges writes of a replaced
/// primary, and at each appointment that the new primary has all acknowledged
/// writes.
class LeaderHarness final {
public:
  /// Starts three proxies and three servers with primary s1 and waits until all
  /// are in sync.
  explicit LeaderHarness(const ControlLeaderSettings &Settings = {});

  /// Advances time by \p Length.
  void run(Duration Length);
  /// Advances time until \p Holds and returns the time taken; fails after \p
  /// Limit.
  Duration runUntil(const std::function<bool()> &Holds, Duration Limit = 10s);
  /// Makes another process the leader. Messages in flight are lost.
  void changeLeader();
  /// Opens the first session of \p Proxy, or a new one after its restart.
  void open(FakeProxy &Proxy);

  const GroupRecord &group() const { return *m_State.groups().find(TheGroup); }
  SyncState sync(const std::string &Server) const {
    return group().m_Servers.at(ServerId(Server)).m_Sync;
  }
  FakeServer &server(const std::string &Server) {
    return m_Servers.at(ServerId(Server));
  }
  FakeServer &primary() { return m_Servers.at(*group().m_Primary); }
  /// True if the appointed primary runs and all running servers have their role
  /// in the group's term.
  bool isSettled() const;
  /// True if isSettled() and all running servers are in sync.
  bool isInSync() const;

  ControlState m_State;                     ///< The replicated state.
  std::unique_ptr<ControlLeader> m_Leader;  ///< The leader.
  std::deque<FakeProxy> m_Proxies;          ///< The proxies.
  std::map<ServerId, FakeServer> m_Servers; ///< The servers by id.
  Instant m_Now{std::chrono::hours(1)};     ///< The true time.
  Duration m_Delay{0}; ///< One-way delay of each message, proposal and call.
  bool m_HasQuorum =
      true; ///< Proposals are committed and quorum rounds confirmed.
  std::vector<std::string> m_TimelineLines; ///< Lines of the time line so far.
  std::function<void(const ServerId &)>
      m_OnAppoint; ///< Called before an AppointPrimary is applied.
  std::function<bool(const CallBackend &)>
      m_DropCall; ///< Returns true for calls that are to be lost.

private:
  void step();
  void announce();
  void schedule(Duration Delay, std::function<void()> Event);
  void deliverDue();
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
  void handle(const WriteTimelineLine &Action) {
    m_TimelineLines.push_back(Action.m_Text);
  }
  void apply(const ControlCommand &Command);
  void applyView(FakeProxy &Proxy, const GroupView &View);
  static void applyLists(FakeProxy &Proxy,
                         const std::optional<CatalogueDelta> &Catalogue,
                         const std::shared_ptr<const SessionHomeLists> &Homes);
  FakeProxy *reachable(ControlSessionId Session);
  BackendCallResult answer(const CallBackend &Action);

  ControlLeaderSettings m_Settings; ///< Settings of all leaders.
  std::multimap<Instant, std::function<void()>>
      m_Scheduled;            ///< Events to be delivered, by time.
  LogPosition m_Acknowledged; ///< The highest acknowledged position.
  std::uint64_t m_Steps = 0;  ///< Number of completed steps.
};

} // namespace ragwortmux::test

#endif // TESTS_VERSION_LEADERHARNESS_H
