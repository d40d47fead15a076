#ifndef TESTS_VERSION_FLEETHARNESS_H
#define TESTS_VERSION_FLEETHARNESS_H

#include "ragwortmux/Process/Peers/ControlMessages.h"
#include "ragwortmux/Version/ControlLeader.h"
#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/ProxyLease.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace ragwortmux::test {

using namespace std::chrono_literals;

/// The size of a fleet of entry hosts and delegated groups.
struct FleetSize final {
  std::uint32_t m_Hosts = 67;           ///< Entry hosts.
  std::uint32_t m_Domains = 3;          ///< Failure domains.
  std::uint32_t m_Groups = 8;           ///< Groups of three servers each.
  std::uint32_t m_ConnectionLimit = 60; ///< Connections that a server accepts.
};

/// What the control leader has done so far.
struct FleetCounts final {
  std::size_t m_Events = 0;        ///< Events that the leader has handled.
  std::size_t m_Pushes = 0;        ///< Updates pushed.
  std::size_t m_Confirmations = 0; ///< Pushed updates confirmed.
  std::size_t m_Renewals = 0;      ///< Renewals granted.
  std::size_t m_Proposals = 0;     ///< Commands proposed.
  std::size_t m_Bytes = 0;         ///< Encoded bytes of pushes and grants.
  std::size_t m_Overtaking = 0;    ///< Records pushed while an earlier one of
                                   ///< the same term was on its way.
  Duration m_Processor{0};         ///< Processor time of the leader.
};

/// An entry host that renews its lease and applies and confirms updates.
struct FleetHost final {
  HostId m_Host;                        ///< Its id.
  FailureDomainId m_Domain;             ///< Its failure domain.
  ControlSessionId m_Session;           ///< Its session; 0 until opened.
  ProxyLease m_Lease;                   ///< Its lease.
  std::map<GroupId, GroupView> m_Views; ///< The group records that it applies.
  Revision m_Catalogue;                 ///< Catalogue that it applies.
  Revision m_Homes;                     ///< Session homes that it applies.
  std::set<GroupId> m_Served;           ///< Groups that it serves.
  std::deque<std::pair<Instant, std::size_t>>
      m_Received;          ///< Bytes received in the last second.
  Instant m_LinkFreeAt{};  ///< When its link has passed on all that was sent.
  bool m_IsCutOff = false; ///< Control does not reach it.
  std::map<GroupId, Term> m_OnTheirWay; ///< Terms of the records that were
                                        ///< pushed and are not confirmed.
};

/// Runs a control leader with the settings of the deployments and many entry
/// hosts in simulated time. Every message takes 1 ms in each direction, an
/// update to an entry host also what its link needs, and a command 2 ms until
/// it is applied. The processor time is real.
///
/// Fails as soon as the leader exceeds a limit of the platform: its share of a
/// core within the time in which a quorum must have answered it, or the link
/// of an entry host within one second.
class FleetHarness final {
public:
  explicit FleetHarness(const FleetSize &Size);

  /// Opens the sessions of all hosts, evenly spread over \p Within from now.
  void openAll(Duration Within);
  /// Ends the processes of all hosts at once; new ones open their sessions
  /// after \p Down, evenly spread over \p Within.
  void restartAll(Duration Down, Duration Within);
  /// Cuts the first \p Count hosts off from control for \p Length, longer than
  /// a lease; they open their sessions again evenly spread over \p Within.
  void cutOff(std::size_t Count, Duration Length, Duration Within);
  /// Replaces the catalogue by \p Entries entries of the first group.
  void replaceCatalogue(std::uint32_t Entries);
  /// Makes another process the leader; sessions stay open and messages in
  /// flight are lost.
  void changeLeader();
  /// Advances time by \p Length.
  void run(Duration Length);
  /// Advances time until \p Holds and returns the time taken; fails after \p
  /// Limit.
  Duration runUntil(const std::function<bool()> &Holds, Duration Limit);

  /// True if all hosts are session homes, and each has a valid lease and a
  /// connection share of at least one at each server of the groups that it
  /// serves.
  bool isServing() const;

  const FleetCounts &counts() const { return m_Counts; }
  const ControlState &state() const { return m_State; }
  const std::vector<FleetHost> &hosts() const { return m_Hosts; }
  /// The largest processor time of the leader so far within the time in which
  /// a quorum must have answered it.
  Duration largestBusyTime() const { return m_LargestBusyTime; }

private:
  /// Opens the session of one host.
  void open(std::size_t Host);
  /// Calls the leader, and executes its actions until none is left.
  void lead(const std::function<void()> &Event);
  void schedule(Duration Delay, std::function<void()> Event);
  void step();
  void announce();
  void renew(std::size_t Host);
  void apply(const ControlCommand &Command);
  void handle(const Propose &Action);
  void handle(const ConfirmLeadership &Action);
  void handle(const GrantRenewal &Action);
  void handle(const RefuseRenewal &Action);
  void handle(const PushGroupView &Action);
  void handle(const PushCatalogue &Action);
  void handle(const PushSessionHomes &Action);
  void handle(const CallBackend &Action);
  void handle(const WriteTimelineLine &) {}
  void push(ControlSessionId Session, const ControlUpdate &Update);
  /// Counts \p View if it is pushed beside an earlier one.
  void countOvertaking(ControlSessionId Session, const GroupView &View);
  static SessionHomesView homesView(const SessionHomeLists &Homes);
  FleetHost *find(ControlSessionId Session);
  void receive(FleetHost &Host, const ControlUpdate &Update);
  /// Counts the encoded size of \p Update to \p Host; returns how long the
  /// update takes.
  Duration countBytes(FleetHost &Host, const ControlUpdate &Update);
  void checkProcessorTime();
  /// The groups that \p Host serves with the homes \p Active: the four hosts
  /// of a failure domain with the greatest weights serve a group.
  std::set<GroupId> servedGroups(const FleetHost &Host,
                                 const std::vector<EntryAddress> &Active) const;

  const FleetSize m_Size;                  ///< Size of the fleet.
  ControlState m_State;                    ///< The replicated state.
  std::unique_ptr<ControlLeader> m_Leader; ///< The leader.
  std::vector<FleetHost> m_Hosts;          ///< The entry hosts.
  std::vector<std::pair<GroupId, ServerId>> m_Servers; ///< All servers.
  Instant m_Now{std::chrono::hours(1)};                ///< The simulated time.
  std::multimap<Instant, std::function<void()>>
      m_Scheduled;                      ///< Events to come, by time.
  FleetCounts m_Counts;                 ///< What the leader has done.
  std::vector<GroupPolicy> m_Policies;  ///< Of all groups.
  std::uint64_t m_CatalogueVersion = 1; ///< Version of the catalogue.
  std::uint64_t m_Run = 1;              ///< Run of the hosts' processes.
  std::uint64_t m_Steps = 0;            ///< Number of completed steps.
  std::uint64_t m_Reports = 0;          ///< Number of announcements so far.
  std::deque<std::pair<Instant, Duration>>
      m_BusyTimes;               ///< Recent processor times of the leader.
  Duration m_LargestBusyTime{0}; ///< See largestBusyTime().
};

} // namespace ragwortmux::test

#endif // TESTS_VERSION_FLEETHARNESS_H
