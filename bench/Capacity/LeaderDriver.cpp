#include "bench/Capacity/LeaderDriver.h"

#include "bench/Capacity/TimedCall.h"
#include "ragwortmux/Version/GroupRecord.h"

namespace ragwortmux {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr std::uint64_t TicksPerAnnouncement = 5;
constexpr std::uint64_t TicksPerRenewal = 15;
constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

LeaderDriver::LeaderDriver(const StateSizes &Sizes)
    : m_Sizes(Sizes), m_Leader(m_State, ControlLeaderSettings()) {
  fillState(m_State, Sizes);
  m_State.shares().forEachShare([this](const ShareRecord &Share) {
    m_Served[Share.m_Session].insert(Share.m_Group);
  });
  m_Leader.becameLeader(m_Now);
  processActions();
}

LeaderTimes LeaderDriver::run(Duration Time) {
  LeaderTimes Times;
  std::uint64_t Ticks = 0;
  std::uint64_t Announcements = 0;
  std::uint64_t Renewals = 0;
  for (const Instant End = m_Now + Time; m_Now < End; ++Ticks) {
    m_Now += TickInterval;
    if (Ticks % TicksPerAnnouncement == 0) {
      announceAll(Times, Announcements);
    }
    if (Ticks % TicksPerRenewal == 0) {
      renewAll(Times, Renewals);
    }
    Times.m_Tick += measureMicroseconds([&] {
      m_Leader.tick(m_Now, StateTime);
      processActions();
    });
  }
  Times.m_PerSecond = (Times.m_Tick + Times.m_Announcement + Times.m_Renewal) *
                      MicrosecondsPerSecond / static_cast<double>(Time.count());
  Times.m_Tick /= static_cast<double>(std::max<std::uint64_t>(Ticks, 1));
  Times.m_Announcement /=
      static_cast<double>(std::max<std::uint64_t>(Announcements, 1));
  Times.m_Renewal /= static_cast<double>(std::max<std::uint64_t>(Renewals, 1));
  return Times;
}

void LeaderDriver::announceAll(LeaderTimes &Times, std::uint64_t &Count) {
  for (std::uint32_t Group = 0; Group < m_Sizes.m_Groups; ++Group) {
    const GroupRecord *Record = m_State.groups().find(makeGroupId(Group));
    for (std::uint32_t Server = 0; Server < ServersPerGroup; ++Server) {
      const RegisterServer Registration = makeRegisterServer(Group, Server);
      ServerAnnouncement Given;
      Given.m_Group = Registration.m_Group;
      Given.m_Server = Registration.m_Server;
      Given.m_Domain = Registration.m_Domain;
      Given.m_Address = Registration.m_Address;
      Given.m_Port = Registration.m_Port;
      Given.m_Role = Record->m_Primary == Registration.m_Server
                         ? BackendRole::Primary
                         : BackendRole::Replica;
      Given.m_Point = {Record->m_Term, LogPosition(1)};
      Given.m_Slots = Registration.m_Slots;
      Given.m_ConnectionLimit = Registration.m_ConnectionLimit;
      ++Count;
      Times.m_Announcement += measureMicroseconds([&] {
        m_Leader.announcementReceived(Given, m_Now);
        processActions();
      });
    }
  }
}

void LeaderDriver::renewAll(LeaderTimes &Times, std::uint64_t &Count) {
  m_Confirmed.clear();
  m_State.groups().forEachGroup([this](const GroupRecord &Record) {
    m_Confirmed[Record.m_Group] = Record.m_Revision;
  });
  ++m_Sequence;
  for (std::uint32_t Host = 0; Host < m_Sizes.m_Sessions; ++Host) {
    LeaseRenewal Renewal;
    Renewal.m_Session = ControlSessionId(Host + 1);
    Renewal.m_Sequence = m_Sequence;
    Renewal.m_Confirmed = m_Confirmed;
    Renewal.m_ServedGroups = m_Served[Renewal.m_Session];
    Renewal.m_Catalogue = m_State.catalogue().revision();
    Renewal.m_Homes = m_State.homes().m_Revision;
    ++Count;
    Times.m_Renewal += measureMicroseconds([&] {
      m_Leader.renewalReceived(Renewal, m_Now);
      processActions();
    });
  }
}

void LeaderDriver::processActions() {
  for (auto Actions = m_Leader.takeActions(); !Actions.empty();
       Actions = m_Leader.takeActions()) {
    for (const ControlAction &Action : Actions) {
      if (const auto *Proposal = std::get_if<Propose>(&Action)) {
        ++m_Proposals;
        const ControlResult Result = m_State.apply(Proposal->m_Command);
        m_Leader.applied(Proposal->m_Command, Result, m_Now);
      } else if (const auto *Confirmation =
                     std::get_if<ConfirmLeadership>(&Action)) {
        m_Leader.leadershipConfirmed(Confirmation->m_Token, m_Now);
      }
    }
  }
}

} // namespace ragwortmux
