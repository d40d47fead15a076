#include "LeaderHarness.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace ragwortmux::test {

namespace {

constexpr Duration StepLength = 10ms;
constexpr std::uint64_t StepsPerTick = 2;
constexpr std::uint64_t StepsPerAnnouncement = 10;
constexpr std::uint64_t StepsPerRenewal = 30;

} // namespace

std::optional<Term> FakeProxy::acknowledges(Instant Now) const {
  if (!m_View || !m_View->m_Primary || !m_Lease.isValid(local(Now)))
    return std::nullopt;
  return m_View->m_Term;
}

LeaderHarness::LeaderHarness(const ControlLeaderSettings &Settings)
    : m_Leader(std::make_unique<ControlLeader>(m_State, Settings)),
      m_Settings(Settings) {
  for (const char *Name : {"s1", "s2", "s3"})
    m_Servers[ServerId(Name)].m_Server = ServerId(Name);
  server("s1").m_Role = BackendRole::Primary;
  m_Leader->becameLeader(m_Now);
  for (const char *Host : {"h1", "h2", "h3"}) {
    m_Proxies.emplace_back().m_Host = Host;
    open(m_Proxies.back());
  }
  runUntil([this] { return isInSync(); });
  // Let the grace period of a new leader pass.
  run(1s);
}

void LeaderHarness::open(FakeProxy &Proxy) {
  const ControlCommand Command = openSession(Proxy.m_Host, ++Proxy.m_Run);
  const ControlResult Result = m_State.apply(Command);
  Proxy.m_Session = Result.m_Session;
  Proxy.m_Lease.sessionOpened(Result.m_Session);
  // Records of the previous session do not count.
  Proxy.m_View.reset();
  m_Leader->applied(Command, Result, m_Now);
}

void LeaderHarness::changeLeader() {
  m_Leader = std::make_unique<ControlLeader>(m_State, m_Settings);
  m_Scheduled.clear();
  m_Leader->becameLeader(m_Now);
}

bool LeaderHarness::isSettled() const {
  const GroupRecord *Group = m_State.groups().find(TheGroup);
  if (Group == nullptr || !Group->m_Primary ||
      !m_Servers.at(*Group->m_Primary).m_Up)
    return false;
  return std::all_of(
      m_Servers.begin(), m_Servers.end(), [&](const auto &Entry) {
        const auto &[Id, Server] = Entry;
        const BackendRole Role = Group->m_Primary == Id ? BackendRole::Primary
                                                        : BackendRole::Replica;
        return !Server.m_Up || (Server.m_Role == Role &&
                                Server.m_Point.m_Term == Group->m_Term);
      });
}

bool LeaderHarness::isInSync() const {
  return isSettled() &&
         std::all_of(m_Servers.begin(), m_Servers.end(), [&](const auto &Each) {
           return !Each.second.m_Up ||
                  sync(Each.first.value()) == SyncState::InSync;
         });
}

void LeaderHarness::run(Duration Length) {
  for (const Instant End = m_Now + Length; m_Now < End;)
    step();
}

Duration LeaderHarness::runUntil(const std::function<bool()> &Holds,
                                 Duration Limit) {
  const Instant Begin = m_Now;
  while (!Holds()) {
    BOOST_REQUIRE_MESSAGE(m_Now - Begin < Limit, "not within the limit");
    step();
  }
  return m_Now - Begin;
}

void LeaderHarness::step() {
  m_Now += StepLength;
  ++m_Steps;
  replicate();
  deliverDue();
  if (m_Steps % StepsPerAnnouncement == 0)
    announce();
  if (m_Steps % StepsPerRenewal == 0)
    renew();
  if (m_Steps % StepsPerTick == 0)
    m_Leader->tick(
        m_Now, Start + std::chrono::duration_cast<std::chrono::milliseconds>(
                           m_Now.time_since_epoch()));
  takeActions();
  acknowledge();
}

void LeaderHarness::announce() {
  for (const auto &[Id, Server] : m_Servers) {
    if (!Server.m_Up || !Server.m_Announces)
      continue;
    const RegisterServer Fixed = registerServer(Id.value());
    m_Leader->announcementReceived(
        {.m_Group = TheGroup,
         .m_Server = Id,
         .m_Domain = Fixed.m_Domain,
         .m_Address = Fixed.m_Address,
         .m_Port = Fixed.m_Port,
         .m_Role = Server.m_Role,
         .m_Point = Server.m_Point,
         .m_Slots = Fixed.m_Slots,
         .m_ConnectionLimit = Fixed.m_ConnectionLimit,
         .m_Leaving = Server.m_Leaving},
        m_Now);
  }
}

void LeaderHarness::schedule(Duration Delay, std::function<void()> Event) {
  if (Delay == 0ms)
    Event();
  else
    m_Scheduled.emplace(m_Now + Delay, std::move(Event));
}

void LeaderHarness::deliverDue() {
  while (!m_Scheduled.empty() && m_Scheduled.begin()->first <= m_Now) {
    const std::function<void()> Event = std::move(m_Scheduled.begin()->second);
    m_Scheduled.erase(m_Scheduled.begin());
    Event();
    takeActions();
  }
}

void LeaderHarness::renew() {
  for (FakeProxy &Proxy : m_Proxies) {
    if (!Proxy.m_ReachesControl)
      continue;
    LeaseRenewal Renewal;
    Renewal.m_Session = Proxy.m_Session;
    Renewal.m_Sequence = Proxy.m_Lease.renewalSent(Proxy.local(m_Now));
    if (Proxy.m_View)
      Renewal.m_Confirmed[TheGroup] = Proxy.m_View->m_Revision;
    Renewal.m_Catalogue = Proxy.m_Catalogue;
    Renewal.m_Homes = Proxy.m_Homes;
    Renewal.m_Demand = Proxy.m_Demand;
    schedule(m_Delay,
             [this, Renewal] { m_Leader->renewalReceived(Renewal, m_Now); });
  }
}

void LeaderHarness::replicate() {
  for (auto &[Id, Server] : m_Servers) {
    if (Server.m_Up && Server.m_Role == BackendRole::Primary)
      Server.m_Point.m_Position =
          LogPosition(Server.m_Point.m_Position.value() + 1);
  }
  // A replica copies the log of the primary of its term, even if control does
  // not reach that primary.
  for (const auto &[Id, Primary] : m_Servers) {
    if (!Primary.m_Up || Primary.m_Role != BackendRole::Primary)
      continue;
    for (auto &[Other, Replica] : m_Servers) {
      if (Replica.m_Up && Replica.m_Applies &&
          Replica.m_Role == BackendRole::Replica &&
          Replica.m_HighestTerm <= Primary.m_Point.m_Term &&
          Replica.m_Point.m_Term == Primary.m_Point.m_Term)
        Replica.m_Point.m_Position = Primary.m_Point.m_Position;
    }
  }
}

void LeaderHarness::acknowledge() {
  for (const FakeProxy &Proxy : m_Proxies) {
    const auto Acknowledged = Proxy.acknowledges(m_Now);
    if (!Acknowledged)
      continue;
    const GroupRecord &Group = group();
    BOOST_REQUIRE_MESSAGE(!Group.m_Primary || *Acknowledged == Group.m_Term,
                          "a replaced primary's write is acknowledged");
    // A write is acknowledged once all servers that the proxy waits for have
    // applied it.
    std::size_t Copies = 0;
    auto Applied = LogPosition(UINT64_MAX);
    for (const ServerView &Server : Proxy.m_View->m_Servers) {
      const FakeServer &Fake = m_Servers.at(Server.m_Server);
      if (Server.m_Sync == SyncState::Behind)
        continue;
      ++Copies;
      Applied = std::min(Applied, Fake.m_Point.m_Term == *Acknowledged
                                      ? Fake.m_Point.m_Position
                                      : LogPosition());
    }
    if (Copies >= MinInSyncServers)
      m_Acknowledged = std::max(m_Acknowledged, Applied);
  }
}

void LeaderHarness::takeActions() {
  for (;;) {
    const auto Actions = m_Leader->takeActions();
    if (Actions.empty())
      return;
    for (const ControlAction &Action : Actions)
      std::visit([this](const auto &Typed) { handle(Typed); }, Action);
  }
}

void LeaderHarness::handle(const Propose &Action) {
  if (m_HasQuorum)
    schedule(2 * m_Delay, [this, Action] { apply(Action.m_Command); });
}

void LeaderHarness::apply(const ControlCommand &Command) {
  if (const auto *Appoint = std::get_if<AppointPrimary>(&Command)) {
    if (m_OnAppoint)
      m_OnAppoint(Appoint->m_Server);
    BOOST_REQUIRE_MESSAGE(m_Servers.at(Appoint->m_Server).m_Point.m_Position >=
                              m_Acknowledged,
                          "an acknowledged write is lost");
  }
  const ControlResult Result = m_State.apply(Command);
  m_Leader->applied(Command, Result, m_Now);
}

void LeaderHarness::handle(const ConfirmLeadership &Action) {
  if (m_HasQuorum)
    schedule(2 * m_Delay, [this, Action] {
      m_Leader->leadershipConfirmed(Action.m_Token, m_Now);
    });
}

FakeProxy *LeaderHarness::reachable(ControlSessionId Session) {
  for (FakeProxy &Proxy : m_Proxies) {
    if (Proxy.m_Session == Session && Proxy.m_ReachesControl)
      return &Proxy;
  }
  return nullptr;
}

void LeaderHarness::applyView(FakeProxy &Proxy, const GroupView &View) {
  if (!Proxy.m_Confirms)
    return;
  if (!Proxy.m_View || Proxy.m_View->m_Revision < View.m_Revision)
    Proxy.m_View = View;
  m_Leader->updateConfirmed(Proxy.m_Session, TheGroup, Proxy.m_View->m_Revision,
                            m_Now);
}

void LeaderHarness::handle(const GrantRenewal &Action) {
  schedule(m_Delay, [this, Action] {
    FakeProxy *Proxy = reachable(Action.m_Session);
    if (Proxy == nullptr)
      return;
    for (const GroupView &View : Action.m_Groups)
      applyView(*Proxy, View);
    applyLists(*Proxy, Action.m_Catalogue, Action.m_Homes);
    Proxy->m_Lease.renewalGranted(Action.m_Session, Action.m_Sequence,
                                  Action.m_Length);
  });
}

void LeaderHarness::handle(const RefuseRenewal &Action) {
  if (FakeProxy *Proxy = reachable(Action.m_Session))
    open(*Proxy);
}

void LeaderHarness::handle(const PushGroupView &Action) {
  schedule(m_Delay, [this, Action] {
    if (FakeProxy *Proxy = reachable(Action.m_Session))
      applyView(*Proxy, Action.m_View);
  });
}

void LeaderHarness::handle(const PushCatalogue &Action) {
  FakeProxy *Proxy = reachable(Action.m_Session);
  if (Proxy == nullptr)
    return;
  applyLists(*Proxy, Action.m_Delta, nullptr);
  m_Leader->catalogueConfirmed(Action.m_Session, Proxy->m_Catalogue, m_Now);
}

void LeaderHarness::handle(const PushSessionHomes &Action) {
  FakeProxy *Proxy = reachable(Action.m_Session);
  if (Proxy == nullptr)
    return;
  applyLists(*Proxy, std::nullopt, Action.m_Homes);
  m_Leader->homesConfirmed(Action.m_Session, Proxy->m_Homes, m_Now);
}

void LeaderHarness::applyLists(
    FakeProxy &Proxy, const std::optional<CatalogueDelta> &Catalogue,
    const std::shared_ptr<const SessionHomeLists> &Homes) {
  if (Catalogue)
    Proxy.m_Catalogue = std::max(Proxy.m_Catalogue, Catalogue->m_Revision);
  if (Homes && Proxy.m_ConfirmsHomes)
    Proxy.m_Homes = std::max(Proxy.m_Homes, Homes->m_Revision);
}

void LeaderHarness::handle(const CallBackend &Action) {
  if (m_DropCall && m_DropCall(Action))
    return;
  const FakeServer &Server = m_Servers.at(Action.m_Server);
  // A call that does not reach the server times out.
  if (Server.m_Up && !Server.m_ReachesControl) {
    BackendCallResult GivenUp;
    GivenUp.m_Call = Action.m_Call;
    schedule(Action.m_Timeout, [this, GivenUp] {
      m_Leader->backendCallCompleted(GivenUp, m_Now);
    });
    return;
  }
  schedule(m_Delay, [this, Action] {
    schedule(m_Delay, [this, Result = answer(Action)] {
      m_Leader->backendCallCompleted(Result, m_Now);
    });
  });
}

BackendCallResult LeaderHarness::answer(const CallBackend &Action) {
  FakeServer &Server = m_Servers.at(Action.m_Server);
  BackendCallResult Result;
  Result.m_Call = Action.m_Call;
  if (!Server.m_Up || Action.m_Term < Server.m_HighestTerm)
    return Result;
  Result.m_Ok = true;
  if (Action.m_Kind != BackendCallKind::Position)
    Server.m_HighestTerm = Action.m_Term;
  if (Action.m_Kind == BackendCallKind::Promote &&
      Server.m_Point.m_Term < Action.m_Term) {
    Server.m_Role = BackendRole::Primary;
    Server.m_Point.m_Term = Action.m_Term;
    ++Server.m_Promotions;
  }
  if (Action.m_Kind == BackendCallKind::Follow) {
    for (const auto &[Id, Primary] : m_Servers) {
      if (registerServer(Id.value()).m_Address != Action.m_PrimaryAddress)
        continue;
      Result.m_Ok = Primary.m_Up && Primary.m_Point.m_Term == Action.m_Term;
      if (!Result.m_Ok)
        return Result;
      Server.m_Role = BackendRole::Replica;
      Server.m_Point = {Action.m_Term, std::min(Server.m_Point.m_Position,
                                                Primary.m_Point.m_Position)};
    }
  }
  Result.m_Point = Server.m_Point;
  Result.m_Role = Server.m_Role;
  return Result;
}

} // namespace ragwortmux::test
