#include "FleetHarness.h"

#include "StateBuilder.h"

#include "ragwortmux/Connection/StableHash.h"
#include "ragwortmux/Process/Peers/RpcCodec.h"

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <ctime>
#include <set>

namespace ragwortmux::test {

namespace {

constexpr Duration StepLength = 1ms;
constexpr Duration MessageDelay = 1ms;
constexpr Duration CommitDelay = 2ms;
constexpr Duration RenewalInterval = 300ms;
constexpr std::uint64_t StepsPerTick = 10;
constexpr std::uint64_t StepsPerAnnouncement = 1200;
constexpr std::uint32_t ServersPerGroup = 3;
constexpr std::size_t HostsPerDomain = 4;

/// A control host's processor, in percent of a core.
constexpr int ProcessorPercent = 30;
constexpr int PercentBase = 100;
/// A leader steps down unless a quorum has answered within this time.
constexpr Duration CheckQuorumTimeout = 208ms;
/// What an entry host's link of 2 Mbit/s carries within one second.
constexpr std::size_t LinkBytesPerSecond = 250'000;

/// Processor time of the calling thread.
Duration threadTime() {
  std::timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

ControlLeaderSettings leaderSettings() {
  ControlLeaderSettings Settings;
  Settings.m_Lease = 1100ms;
  Settings.m_RenewalInterval = RenewalInterval;
  Settings.m_ShareCeiling = 5;
  Settings.m_ShareReservePercent = 25;
  Settings.m_SilenceUnannounced = 4200ms;
  return Settings;
}

} // namespace

FleetHarness::FleetHarness(const FleetSize &Size)
    : m_Size(Size),
      m_Leader(std::make_unique<ControlLeader>(m_State, leaderSettings())) {
  std::vector<GroupPolicy> Policies;
  for (std::uint32_t Group = 0; Group < Size.m_Groups; ++Group) {
    const GroupId Id("group-" + std::to_string(Group));
    Policies.push_back({Id, Size.m_ConnectionLimit, 0});
    for (std::uint32_t Server = 0; Server < ServersPerGroup; ++Server)
      m_Servers.emplace_back(Id, "server-" + std::to_string(Group) + "-" +
                                     std::to_string(Server));
  }
  for (std::uint32_t Host = 0; Host < Size.m_Hosts; ++Host) {
    FleetHost &Each = m_Hosts.emplace_back();
    Each.m_Host = HostId("host-" + std::to_string(Host));
    Each.m_Domain =
        FailureDomainId("domain-" + std::to_string(Host % Size.m_Domains));
  }
  m_State.apply(AdvanceTime{Start});
  m_Policies = Policies;
  m_State.apply(ReplaceCatalogue{
      CatalogueVersion(m_CatalogueVersion), "{}", {}, Policies});
  lead([this] { m_Leader->becameLeader(m_Now); });
  run(3s);
}

void FleetHarness::openAll(Duration Within) {
  for (std::size_t Host = 0; Host < m_Hosts.size(); ++Host) {
    const auto Part = static_cast<std::int64_t>(Host);
    const auto Parts = static_cast<std::int64_t>(m_Hosts.size());
    schedule(Within * Part / Parts, [this, Host] { open(Host); });
  }
}

void FleetHarness::open(std::size_t Host) {
  const FleetHost &Opened = m_Hosts[Host];
  lead([&] {
    apply(OpenSession{Opened.m_Host, Incarnation(m_Run), Opened.m_Domain,
                      "10.0.0." + std::to_string(Host), 7000});
  });
  schedule(MessageDelay, [this, Host] { renew(Host); });
}

void FleetHarness::cutOff(std::size_t Count, Duration Length, Duration Within) {
  for (std::size_t Host = 0; Host < Count; ++Host) {
    m_Hosts[Host].m_IsCutOff = true;
    const auto Part = static_cast<std::int64_t>(Host);
    const auto Parts = static_cast<std::int64_t>(Count);
    schedule(Length + Within * Part / Parts, [this, Host] {
      m_Hosts[Host].m_IsCutOff = false;
      open(Host);
    });
  }
}

void FleetHarness::restartAll(Duration Down, Duration Within) {
  m_Scheduled.clear();
  ++m_Run;
  for (FleetHost &Host : m_Hosts) {
    FleetHost Restarted;
    Restarted.m_Host = Host.m_Host;
    Restarted.m_Domain = Host.m_Domain;
    Restarted.m_Received = Host.m_Received;
    Host = Restarted;
  }
  run(Down);
  openAll(Within);
}

void FleetHarness::replaceCatalogue(std::uint32_t Entries) {
  ReplaceCatalogue Command{
      CatalogueVersion(++m_CatalogueVersion), "{}", {}, m_Policies};
  for (std::uint32_t Number = 0; Number < Entries; ++Number) {
    CatalogueEntry &Entry = Command.m_Entries.emplace_back();
    Entry.m_Name = EntryName("entry-" + std::to_string(Number));
    Entry.m_Group = m_Policies.front().m_Group;
    Entry.m_Owner = OwnerId("owner");
    Entry.m_Class = TrafficClass::PrimarySession;
  }
  lead([&] { apply(Command); });
}

void FleetHarness::changeLeader() {
  m_Leader = std::make_unique<ControlLeader>(m_State, leaderSettings());
  m_Scheduled.clear();
  lead([this] { m_Leader->becameLeader(m_Now); });
  for (std::size_t Host = 0; Host < m_Hosts.size(); ++Host)
    schedule(MessageDelay, [this, Host] { renew(Host); });
}

void FleetHarness::run(Duration Length) {
  for (const Instant End = m_Now + Length; m_Now < End;)
    step();
}

Duration FleetHarness::runUntil(const std::function<bool()> &Holds,
                                Duration Limit) {
  const Instant Begin = m_Now;
  while (!Holds()) {
    BOOST_REQUIRE_MESSAGE(m_Now - Begin < Limit, "not within the limit");
    step();
  }
  return m_Now - Begin;
}

bool FleetHarness::isServing() const {
  const SessionHomeLists &Homes = m_State.homes();
  if (Homes.m_Active.size() < m_Hosts.size() || !Homes.m_Preparing.empty())
    return false;
  return std::all_of(
      m_Hosts.begin(), m_Hosts.end(), [&](const FleetHost &Host) {
        if (!Host.m_Lease.isValid(m_Now) || Host.m_Homes < Homes.m_Revision)
          return false;
        return std::all_of(
            Host.m_Served.begin(), Host.m_Served.end(), [&](const auto &Group) {
              const auto View = Host.m_Views.find(Group);
              if (View == Host.m_Views.end())
                return false;
              const std::vector<ServerView> &Servers = View->second.m_Servers;
              return Servers.size() == ServersPerGroup &&
                     std::all_of(Servers.begin(), Servers.end(),
                                 [](const ServerView &Each) {
                                   return Each.m_ConnectionShare > 0;
                                 });
            });
      });
}

void FleetHarness::schedule(Duration Delay, std::function<void()> Event) {
  m_Scheduled.emplace(m_Now + Delay, std::move(Event));
}

void FleetHarness::step() {
  m_Now += StepLength;
  ++m_Steps;
  while (!m_Scheduled.empty() && m_Scheduled.begin()->first <= m_Now) {
    const std::function<void()> Event = std::move(m_Scheduled.begin()->second);
    m_Scheduled.erase(m_Scheduled.begin());
    Event();
  }
  if (m_Steps % StepsPerAnnouncement == 1)
    announce();
  if (m_Steps % StepsPerTick == 0)
    lead([this] {
      m_Leader->tick(
          m_Now, Start + std::chrono::duration_cast<std::chrono::milliseconds>(
                             m_Now.time_since_epoch()));
    });
}

void FleetHarness::lead(const std::function<void()> &Event) {
  ++m_Counts.m_Events;
  const Duration Before = threadTime();
  Event();
  const std::vector<ControlAction> Actions = m_Leader->takeActions();
  const Duration Used = threadTime() - Before;
  m_Counts.m_Processor += Used;
  m_BusyTimes.emplace_back(m_Now, Used);
  checkProcessorTime();
  for (const ControlAction &Action : Actions)
    std::visit([this](const auto &Typed) { handle(Typed); }, Action);
}

void FleetHarness::checkProcessorTime() {
  while (m_Now - m_BusyTimes.front().first >= CheckQuorumTimeout)
    m_BusyTimes.pop_front();
  Duration Busy{0};
  for (const auto &[At, Used] : m_BusyTimes)
    Busy += Used;
  m_LargestBusyTime = std::max(m_LargestBusyTime, Busy);
  BOOST_REQUIRE_MESSAGE(
      Busy <= CheckQuorumTimeout * ProcessorPercent / PercentBase,
      "the leader has used "
          << Busy.count() << " us of processor time within "
          << CheckQuorumTimeout.count() << " us, after " << m_Counts.m_Events
          << " events, " << m_Counts.m_Pushes << " pushes, "
          << m_Counts.m_Proposals << " proposals and " << m_Counts.m_Bytes
          << " bytes");
}

void FleetHarness::announce() {
  for (const auto &[Group, Server] : m_Servers) {
    ServerAnnouncement Each;
    Each.m_Group = Group;
    Each.m_Server = Server;
    Each.m_Domain = FailureDomainId("domain-0");
    Each.m_Address = "10.0.1.1";
    Each.m_Port = 5432;
    Each.m_Slots = 5;
    Each.m_Delegated = true;
    Each.m_Incarnation = 1;
    Each.m_Sequence = ++m_Reports;
    Each.m_Role = Server.value().ends_with("-0") ? BackendRole::Primary
                                                 : BackendRole::Replica;
    lead([&] { m_Leader->announcementReceived(Each, m_Now); });
  }
}

void FleetHarness::renew(std::size_t Host) {
  FleetHost &Renewing = m_Hosts[Host];
  // The session that it opens again is renewed anew.
  if (Renewing.m_IsCutOff)
    return;
  LeaseRenewal Renewal;
  Renewal.m_Session = Renewing.m_Session;
  Renewal.m_Sequence = Renewing.m_Lease.renewalSent(m_Now);
  for (const auto &[Group, View] : Renewing.m_Views)
    Renewal.m_Confirmed[Group] = View.m_Revision;
  Renewal.m_Catalogue = Renewing.m_Catalogue;
  Renewal.m_Homes = Renewing.m_Homes;
  Renewal.m_ServedGroups = Renewing.m_Served;
  schedule(MessageDelay, [this, Renewal] {
    lead([&] { m_Leader->renewalReceived(Renewal, m_Now); });
  });
  schedule(RenewalInterval, [this, Host] { renew(Host); });
}

void FleetHarness::apply(const ControlCommand &Command) {
  const ControlResult Result = m_State.apply(Command);
  if (const auto *Open = std::get_if<OpenSession>(&Command)) {
    for (FleetHost &Host : m_Hosts) {
      if (Host.m_Host != Open->m_Host)
        continue;
      Host.m_Session = Result.m_Session;
      Host.m_Lease.sessionOpened(Result.m_Session);
    }
  }
  m_Leader->applied(Command, Result, m_Now);
}

void FleetHarness::handle(const Propose &Action) {
  ++m_Counts.m_Proposals;
  schedule(CommitDelay,
           [this, Action] { lead([&] { apply(Action.m_Command); }); });
}

void FleetHarness::handle(const ConfirmLeadership &Action) {
  schedule(CommitDelay, [this, Action] {
    lead([&] { m_Leader->leadershipConfirmed(Action.m_Token, m_Now); });
  });
}

void FleetHarness::handle(const GrantRenewal &Action) {
  FleetHost *Host = find(Action.m_Session);
  BOOST_REQUIRE(Host != nullptr);
  if (Host->m_IsCutOff)
    return;
  ++m_Counts.m_Renewals;
  ControlUpdate Update;
  Update.m_Views = Action.m_Groups;
  Update.m_Catalogue = Action.m_Catalogue;
  if (Action.m_Homes)
    Update.m_Homes =
        std::make_shared<const SessionHomesView>(homesView(*Action.m_Homes));
  schedule(countBytes(*Host, Update), [this, Host, Update, Action] {
    receive(*Host, Update);
    Host->m_Lease.renewalGranted(Action.m_Session, Action.m_Sequence,
                                 Action.m_Length);
  });
}

void FleetHarness::handle(const RefuseRenewal &Action) {
  BOOST_FAIL("session " << Action.m_Session.value() << " has ended");
}

void FleetHarness::handle(const PushGroupView &Action) {
  countOvertaking(Action.m_Session, Action.m_View);
  ControlUpdate Update;
  Update.m_Views = {Action.m_View};
  push(Action.m_Session, Update);
}

void FleetHarness::handle(const PushCatalogue &Action) {
  ControlUpdate Update;
  Update.m_Catalogue = Action.m_Delta;
  push(Action.m_Session, Update);
}

void FleetHarness::handle(const PushSessionHomes &Action) {
  ControlUpdate Update;
  Update.m_Homes =
      std::make_shared<const SessionHomesView>(homesView(*Action.m_Homes));
  push(Action.m_Session, Update);
}

void FleetHarness::handle(const CallBackend &Action) {
  BackendCallResult Result;
  Result.m_Call = Action.m_Call;
  Result.m_Ok = true;
  Result.m_Role = Action.m_Server.value().ends_with("-0")
                      ? BackendRole::Primary
                      : BackendRole::Replica;
  schedule(2 * MessageDelay, [this, Result] {
    lead([&] { m_Leader->backendCallCompleted(Result, m_Now); });
  });
}

void FleetHarness::push(ControlSessionId Session, const ControlUpdate &Update) {
  FleetHost *Host = find(Session);
  if (Host == nullptr || Host->m_IsCutOff)
    return;
  ++m_Counts.m_Pushes;
  schedule(countBytes(*Host, Update), [this, Host, Update] {
    receive(*Host, Update);
    schedule(MessageDelay, [this, Host] {
      ++m_Counts.m_Confirmations;
      Host->m_OnTheirWay.clear();
      lead([&] {
        for (const auto &[Group, View] : Host->m_Views)
          m_Leader->updateConfirmed(Host->m_Session, Group, View.m_Revision,
                                    m_Now);
        m_Leader->catalogueConfirmed(Host->m_Session, Host->m_Catalogue, m_Now);
        m_Leader->homesConfirmed(Host->m_Session, Host->m_Homes, m_Now);
      });
    });
  });
}

void FleetHarness::countOvertaking(ControlSessionId Session,
                                   const GroupView &View) {
  FleetHost *Host = find(Session);
  if (Host == nullptr || Host->m_IsCutOff)
    return;
  const auto [Earlier, IsNew] =
      Host->m_OnTheirWay.try_emplace(View.m_Group, View.m_Term);
  if (!IsNew && Earlier->second == View.m_Term)
    ++m_Counts.m_Overtaking;
  Earlier->second = View.m_Term;
}

SessionHomesView FleetHarness::homesView(const SessionHomeLists &Homes) {
  // Like ControlNode::homesView().
  const auto ToAddresses = [&](const std::vector<HostId> &Hosts) {
    std::vector<EntryAddress> Addresses;
    for (const HostId &Host : Hosts) {
      const auto Found = Homes.m_Addresses.find(Host);
      if (Found == Homes.m_Addresses.end())
        continue;
      const SessionHomeAddress &Home = Found->second;
      Addresses.push_back(
          {Host, Home.m_Domain, Home.m_Address, Home.m_RpcPort});
    }
    return Addresses;
  };
  return {Homes.m_Revision, ToAddresses(Homes.m_Active),
          ToAddresses(Homes.m_Preparing)};
}

FleetHost *FleetHarness::find(ControlSessionId Session) {
  const auto Found =
      std::find_if(m_Hosts.begin(), m_Hosts.end(), [&](const FleetHost &Host) {
        return Host.m_Session == Session;
      });
  return Found == m_Hosts.end() ? nullptr : &*Found;
}

void FleetHarness::receive(FleetHost &Host, const ControlUpdate &Update) {
  for (const GroupView &View : Update.m_Views) {
    GroupView &Applied = Host.m_Views[View.m_Group];
    if (Applied.m_Revision < View.m_Revision)
      Applied = View;
  }
  if (Update.m_Catalogue)
    Host.m_Catalogue =
        std::max(Host.m_Catalogue, Update.m_Catalogue->m_Revision);
  if (Update.m_Homes && Host.m_Homes < Update.m_Homes->m_Revision) {
    Host.m_Homes = Update.m_Homes->m_Revision;
    if (!Update.m_Homes->m_Active.empty())
      Host.m_Served = servedGroups(Host, Update.m_Homes->m_Active);
  }
}

Duration FleetHarness::countBytes(FleetHost &Host,
                                  const ControlUpdate &Update) {
  capnp::MallocMessageBuilder Message;
  writeRpc(Message.initRoot<rpc::Update>(), Update);
  const std::size_t Bytes =
      capnp::computeSerializedSizeInWords(Message) * sizeof(capnp::word);
  m_Counts.m_Bytes += Bytes;
  Host.m_Received.emplace_back(m_Now, Bytes);
  while (m_Now - Host.m_Received.front().first >= 1s)
    Host.m_Received.pop_front();
  std::size_t Recent = 0;
  for (const auto &[At, Size] : Host.m_Received)
    Recent += Size;
  BOOST_REQUIRE_MESSAGE(Recent <= LinkBytesPerSecond,
                        "control has sent "
                            << Recent << " bytes to " << Host.m_Host.value()
                            << " within one second, after " << m_Counts.m_Pushes
                            << " pushes to all hosts");
  Host.m_LinkFreeAt =
      std::max(Host.m_LinkFreeAt, m_Now) +
      std::chrono::microseconds(Bytes * 1'000'000 / LinkBytesPerSecond);
  return Host.m_LinkFreeAt - m_Now + MessageDelay;
}

std::set<GroupId>
FleetHarness::servedGroups(const FleetHost &Host,
                           const std::vector<EntryAddress> &Active) const {
  std::set<GroupId> Served;
  for (std::uint32_t Number = 0; Number < m_Size.m_Groups; ++Number) {
    const GroupId Group("group-" + std::to_string(Number));
    const auto Weight = [&](const HostId &Each) {
      return stableHash(Each.value(), Group.value());
    };
    const std::uint64_t Own = Weight(Host.m_Host);
    std::size_t Preferred = 0;
    for (const EntryAddress &Other : Active) {
      if (Other.m_Domain == Host.m_Domain && Weight(Other.m_Host) > Own)
        ++Preferred;
    }
    if (Preferred < HostsPerDomain)
      Served.insert(Group);
  }
  return Served;
}

} // namespace ragwortmux::test
