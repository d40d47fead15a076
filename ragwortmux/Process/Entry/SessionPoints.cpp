#include "ragwortmux/Process/Entry/SessionPoints.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Peers/PeerLink.h"
#include "ragwortmux/Process/Support/Log.h"

#include <algorithm>
#include <tuple>

namespace ragwortmux {

namespace {

/// Longest wait for one home.
constexpr Duration HomeTimeout = std::chrono::milliseconds(200);
/// Look-ups whose tickets are kept.
constexpr std::size_t MaxTickets = 10000;

bool addressLess(const EntryAddress &Left, const EntryAddress &Right) {
  return std::tie(Left.m_Address, Left.m_Port) <
         std::tie(Right.m_Address, Right.m_Port);
}

/// Counts the answers of several homes.
struct StoreRound final {
  std::size_t m_Missing = 0;         ///< Answers still to come.
  bool m_Answered = false;           ///< The reply has been given.
  std::function<void(bool)> m_Reply; ///< Who waits.
};

} // namespace

SessionPoints::SessionPoints(IoLoop &Loop, const Secret &ClusterKey,
                             SessionPointsSettings Settings)
    : m_Loop(Loop), m_Key(ClusterKey), m_Settings(std::move(Settings)),
      m_Here([this] {
        SessionHomeSettings Home;
        Home.m_Incarnation = m_Settings.m_Incarnation;
        return Home;
      }()),
      m_Links(addressLess) {}

SessionPoints::~SessionPoints() = default;

void SessionPoints::setHomes(const SessionHomesView &Homes) {
  if (Homes.m_Revision <= m_Homes.m_Revision) {
    return;
  }
  const std::vector<EntryAddress> Before = std::move(m_Homes.m_Active);
  m_Homes = Homes;
  logDebug(Part::Group, "Session homes {}: {} in force, {} in preparation.",
           Homes.m_Revision.value(), Homes.m_Active.size(),
           Homes.m_Preparing.size());
  // What was stored here in preparation may be older than what a process that
  // had not heard of it stored at the homes in force, so a home that is new to
  // a session starts without it.
  m_Here.setHomes(Homes.m_Revision, [&](const SessionName &Session) {
    return isHomeOf(Session, Before) && isHomeOf(Session, m_Homes.m_Active);
  });
}

void SessionPoints::store(const SessionName &Session, const GroupId &Group,
                          const LogPoint &Point,
                          const std::function<void(bool)> &Reply) {
  const SessionPointEntry Entry{
      {Session, Group, m_Homes.m_Revision}, Point, std::nullopt};
  const auto Active = homesOf(Session, m_Homes.m_Active);
  const auto Preparing = homesOf(Session, m_Homes.m_Preparing);
  storeAtOneOf(Active, Entry, [this, Preparing, Entry, Reply](bool Stored) {
    if (!Stored || Preparing.empty()) {
      Reply(Stored);
      return;
    }
    // The list in preparation may be looked up right after the change.
    storeAtOneOf(Preparing, Entry, Reply);
  });
}

void SessionPoints::establish(RequestId LookedUpBy, const SessionName &Session,
                              const GroupId &Group, const LogPoint &Point) {
  const auto Found = m_Tickets.find(LookedUpBy);
  if (Found == m_Tickets.end()) {
    return;
  }
  const Tickets Given = std::move(Found->second);
  m_Tickets.erase(Found);
  for (const EntryAddress &Home : homesToAsk(Session)) {
    const auto Ticket = Given.find(Home.m_Host);
    if (Ticket == Given.end()) {
      continue;
    }
    storeAt(Home, {{Session, Group, m_Homes.m_Revision}, Point, Ticket->second},
            [](bool) {});
  }
}

void SessionPoints::find(
    RequestId Request, const SessionName &Session, const GroupId &Group,
    const std::function<void(std::optional<LogPoint>)> &Reply) {
  const auto Homes = homesOf(Session, m_Homes.m_Active);
  if (Homes.empty()) {
    Reply(std::nullopt);
    return;
  }
  struct Round final {
    Lookups m_Found;           ///< One answer per home.
    std::size_t m_Missing = 0; ///< Answers still to come.
  };
  const auto Current = std::make_shared<Round>();
  Current->m_Found.resize(Homes.size());
  Current->m_Missing = Homes.size();
  const SessionPointKey Key{Session, Group, m_Homes.m_Revision};
  for (std::size_t Index = 0; Index < Homes.size(); ++Index) {
    findAt(Homes[Index], Key,
           [this, Current, Index, Homes, Request,
            Reply](std::optional<SessionLookup> Found) {
             Current->m_Found[Index] = Found;
             if (--Current->m_Missing > 0) {
               return;
             }
             const auto Point = SessionHome::combine(Current->m_Found);
             if (!Point) {
               keepTickets(Request, Homes, Current->m_Found);
             }
             // Without a lease the homes may have been replaced unnoticed.
             Reply(m_Settings.m_LeaseValid() ? Point : std::nullopt);
           });
  }
}

bool SessionPoints::storeHere(const SessionPointEntry &Entry) {
  const SessionPointKey &Key = Entry.m_Key;
  if (Entry.m_Ticket) {
    return m_Here.storeIfNotRemoved(Key.m_Session, Key.m_Group, Entry.m_Point,
                                    Key.m_Homes, *Entry.m_Ticket);
  }
  return m_Here.store(Key.m_Session, Key.m_Group, Entry.m_Point, Key.m_Homes);
}

SessionLookup SessionPoints::findHere(const SessionPointKey &Key) {
  return m_Here.find(Key.m_Session, Key.m_Group, Key.m_Homes);
}

std::vector<EntryAddress>
SessionPoints::homesOf(const SessionName &Session,
                       const std::vector<EntryAddress> &Hosts) const {
  std::vector<HomeCandidate> Candidates;
  Candidates.reserve(Hosts.size());
  for (const EntryAddress &Host : Hosts) {
    Candidates.push_back({Host.m_Host, Host.m_Domain});
  }
  std::vector<EntryAddress> Homes;
  for (const HostId &Chosen : chooseHomes(Session, Candidates)) {
    Homes.push_back(*std::ranges::find(Hosts, Chosen, &EntryAddress::m_Host));
  }
  return Homes;
}

void SessionPoints::storeAt(const EntryAddress &Home,
                            const SessionPointEntry &Entry,
                            const std::function<void(bool)> &Reply) {
  if (Home.m_Host == m_Settings.m_Self) {
    Reply(storeHere(Entry));
    return;
  }
  link(Home).storeSessionPoint(Entry, [Reply](std::optional<bool> Stored) {
    Reply(Stored.value_or(false));
  });
}

void SessionPoints::findAt(
    const EntryAddress &Home, const SessionPointKey &Key,
    const std::function<void(std::optional<SessionLookup>)> &Reply) {
  if (Home.m_Host == m_Settings.m_Self) {
    Reply(findHere(Key));
    return;
  }
  link(Home).findSessionPoint(Key, Reply);
}

void SessionPoints::storeAtOneOf(const std::vector<EntryAddress> &Homes,
                                 const SessionPointEntry &Entry,
                                 std::function<void(bool)> Reply) {
  if (Homes.empty()) {
    Reply(false);
    return;
  }
  const auto Round = std::make_shared<StoreRound>();
  Round->m_Missing = Homes.size();
  Round->m_Reply = std::move(Reply);
  for (const EntryAddress &Home : Homes) {
    storeAt(Home, Entry, [Round](bool Stored) {
      --Round->m_Missing;
      if (Round->m_Answered || (!Stored && Round->m_Missing > 0)) {
        return;
      }
      Round->m_Answered = true;
      Round->m_Reply(Stored);
    });
  }
}

void SessionPoints::keepTickets(RequestId Request,
                                const std::vector<EntryAddress> &Homes,
                                const Lookups &Found) {
  // Most look-ups never use their tickets; the oldest ones go first.
  if (m_Tickets.size() >= MaxTickets) {
    m_Tickets.erase(m_Tickets.begin());
  }
  Tickets &Kept = m_Tickets[Request];
  for (std::size_t Index = 0; Index < Homes.size(); ++Index) {
    if (Found[Index]) {
      Kept[Homes[Index].m_Host] = Found[Index]->m_Ticket;
    }
  }
}

PeerLink &SessionPoints::link(const EntryAddress &Home) {
  auto &Link = m_Links[Home];
  if (Link == nullptr) {
    PeerLinkSettings Settings;
    Settings.m_OwnHost = m_Settings.m_Self;
    Settings.m_Address = Home.m_Address;
    Settings.m_Port = Home.m_Port;
    Settings.m_CallTimeout = HomeTimeout;
    Link = std::make_unique<PeerLink>(m_Loop, m_Key, Settings);
  }
  return *Link;
}

bool SessionPoints::isHomeOf(const SessionName &Session,
                             const std::vector<EntryAddress> &Hosts) const {
  return std::ranges::any_of(homesOf(Session, Hosts),
                             [this](const EntryAddress &Home) {
                               return Home.m_Host == m_Settings.m_Self;
                             });
}

std::vector<EntryAddress>
SessionPoints::homesToAsk(const SessionName &Session) const {
  std::vector<EntryAddress> Homes = homesOf(Session, m_Homes.m_Active);
  // A process that has heard already that the list in preparation is in force
  // stores there only.
  for (const EntryAddress &Home : homesOf(Session, m_Homes.m_Preparing)) {
    if (std::ranges::find(Homes, Home) == Homes.end()) {
      Homes.push_back(Home);
    }
  }
  return Homes;
}

} // namespace ragwortmux
