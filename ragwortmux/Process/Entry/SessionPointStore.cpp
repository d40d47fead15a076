#include "ragwortmux/Process/Entry/SessionPointStore.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Peers/PeerLink.h"
#include "ragwortmux/Process/Support/Log.h"

#include <algorithm>
#include <tuple>

namespace ragwortmux {

namespace {

/// Timeout of a call to one home.
constexpr Duration HomeTimeout = std::chrono::milliseconds(200);
/// Limit on the number of look-ups whose tickets are stored.
constexpr std::size_t MaxTickets = 10000;

bool addressLess(const EntryAddress &Left, const EntryAddress &Right) {
  return std::tie(Left.m_Address, Left.m_Port) <
         std::tie(Right.m_Address, Right.m_Port);
}

/// A store operation that is in progress at several homes.
struct PendingStore final {
  std::size_t m_PendingReplies = 0;  ///< Answers not received yet.
  bool m_Replied = false;            ///< The reply was sent.
  std::function<void(bool)> m_Reply; ///< Receives the result.
};

} // namespace

SessionPointStore::SessionPointStore(IoLoop &Loop, const Secret &ClusterKey,
                                     SessionPointStoreSettings Settings)
    : m_Loop(Loop), m_ClusterKey(ClusterKey), m_Settings(std::move(Settings)),
      m_LocalHome([this] {
        SessionHomeSettings Home;
        Home.m_Incarnation = m_Settings.m_Incarnation;
        return Home;
      }()),
      m_Links(addressLess) {}

SessionPointStore::~SessionPointStore() = default;

void SessionPointStore::setHomes(const SessionHomesView &Homes) {
  if (Homes.m_Revision <= m_Homes.m_Revision) {
    return;
  }
  const std::vector<EntryAddress> PreviousHomes = std::move(m_Homes.m_Active);
  m_Homes = Homes;
  logDebug(Part::Group,
           "Session homes revision {}: {} active, {} in preparation.",
           Homes.m_Revision.value(), Homes.m_Active.size(),
           Homes.m_Preparing.size());
  // A position that was stored here while the list was in preparation may be
  // older than one that a process without this list stored at the active homes.
  // A host that becomes a home of a session therefore discards its positions.
  m_LocalHome.setHomes(Homes.m_Revision, [&](const SessionName &Session) {
    return isHomeOf(Session, PreviousHomes) &&
           isHomeOf(Session, m_Homes.m_Active);
  });
}

void SessionPointStore::store(const SessionName &Session, const GroupId &Group,
                              const LogPoint &Point,
                              const std::function<void(bool)> &Reply) {
  const SessionPointEntry Entry{
      {Session, Group, m_Homes.m_Revision}, Point, std::nullopt};
  const auto Active = selectHomes(Session, m_Homes.m_Active);
  const auto Preparing = selectHomes(Session, m_Homes.m_Preparing);
  storeAtAny(Active, Entry, [this, Preparing, Entry, Reply](bool Stored) {
    if (!Stored || Preparing.empty()) {
      Reply(Stored);
      return;
    }
    // Look-ups may use the list in preparation as soon as it becomes active.
    storeAtAny(Preparing, Entry, Reply);
  });
}

void SessionPointStore::storeIfNotRemoved(RequestId LookedUpBy,
                                          const SessionName &Session,
                                          const GroupId &Group,
                                          const LogPoint &Point) {
  const auto Found = m_Tickets.find(LookedUpBy);
  if (Found == m_Tickets.end()) {
    return;
  }
  const Tickets StoredTickets = std::move(Found->second);
  m_Tickets.erase(Found);
  for (const EntryAddress &Home : activeAndPreparingHomes(Session)) {
    const auto Ticket = StoredTickets.find(Home.m_Host);
    if (Ticket == StoredTickets.end()) {
      continue;
    }
    storeAt(Home, {{Session, Group, m_Homes.m_Revision}, Point, Ticket->second},
            [](bool) {});
  }
}

void SessionPointStore::find(
    RequestId Request, const SessionName &Session, const GroupId &Group,
    const std::function<void(std::optional<LogPoint>)> &Reply) {
  const auto Homes = selectHomes(Session, m_Homes.m_Active);
  if (Homes.empty()) {
    Reply(std::nullopt);
    return;
  }
  struct PendingLookup final {
    Lookups m_Found;                  ///< One answer per home.
    std::size_t m_PendingReplies = 0; ///< Answers not received yet.
  };
  const auto Lookup = std::make_shared<PendingLookup>();
  Lookup->m_Found.resize(Homes.size());
  Lookup->m_PendingReplies = Homes.size();
  const SessionPointKey Key{Session, Group, m_Homes.m_Revision};
  for (std::size_t Index = 0; Index < Homes.size(); ++Index) {
    findAt(Homes[Index], Key,
           [this, Lookup, Index, Homes, Request,
            Reply](std::optional<SessionLookup> Found) {
             Lookup->m_Found[Index] = Found;
             if (--Lookup->m_PendingReplies > 0) {
               return;
             }
             const auto Point = SessionHome::combine(Lookup->m_Found);
             if (!Point) {
               storeTickets(Request, Homes, Lookup->m_Found);
             }
             // Without a lease, the list of homes may have changed without
             // notice to this host.
             Reply(m_Settings.m_IsLeaseValid() ? Point : std::nullopt);
           });
  }
}

bool SessionPointStore::storeLocally(const SessionPointEntry &Entry) {
  const SessionPointKey &Key = Entry.m_Key;
  if (Entry.m_Ticket) {
    return m_LocalHome.storeIfNotRemoved(Key.m_Session, Key.m_Group,
                                         Entry.m_Point, Key.m_Homes,
                                         *Entry.m_Ticket);
  }
  return m_LocalHome.store(Key.m_Session, Key.m_Group, Entry.m_Point,
                           Key.m_Homes);
}

SessionLookup SessionPointStore::findLocally(const SessionPointKey &Key) {
  return m_LocalHome.find(Key.m_Session, Key.m_Group, Key.m_Homes);
}

std::vector<EntryAddress>
SessionPointStore::selectHomes(const SessionName &Session,
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

void SessionPointStore::storeAt(const EntryAddress &Home,
                                const SessionPointEntry &Entry,
                                const std::function<void(bool)> &Reply) {
  if (Home.m_Host == m_Settings.m_Self) {
    Reply(storeLocally(Entry));
    return;
  }
  link(Home).storeSessionPoint(Entry, [Reply](std::optional<bool> Stored) {
    Reply(Stored.value_or(false));
  });
}

void SessionPointStore::findAt(
    const EntryAddress &Home, const SessionPointKey &Key,
    const std::function<void(std::optional<SessionLookup>)> &Reply) {
  if (Home.m_Host == m_Settings.m_Self) {
    Reply(findLocally(Key));
    return;
  }
  link(Home).findSessionPoint(Key, Reply);
}

void SessionPointStore::storeAtAny(const std::vector<EntryAddress> &Homes,
                                   const SessionPointEntry &Entry,
                                   std::function<void(bool)> Reply) {
  if (Homes.empty()) {
    Reply(false);
    return;
  }
  const auto Store = std::make_shared<PendingStore>();
  Store->m_PendingReplies = Homes.size();
  Store->m_Reply = std::move(Reply);
  for (const EntryAddress &Home : Homes) {
    storeAt(Home, Entry, [Store](bool Stored) {
      --Store->m_PendingReplies;
      if (Store->m_Replied || (!Stored && Store->m_PendingReplies > 0)) {
        return;
      }
      Store->m_Replied = true;
      Store->m_Reply(Stored);
    });
  }
}

void SessionPointStore::storeTickets(RequestId Request,
                                     const std::vector<EntryAddress> &Homes,
                                     const Lookups &Found) {
  // Most look-ups never use their tickets; the oldest are evicted first.
  if (m_Tickets.size() >= MaxTickets) {
    m_Tickets.erase(m_Tickets.begin());
  }
  Tickets &RequestTickets = m_Tickets[Request];
  for (std::size_t Index = 0; Index < Homes.size(); ++Index) {
    if (Found[Index]) {
      RequestTickets[Homes[Index].m_Host] = Found[Index]->m_Ticket;
    }
  }
}

PeerLink &SessionPointStore::link(const EntryAddress &Home) {
  auto &Link = m_Links[Home];
  if (Link == nullptr) {
    PeerLinkSettings Settings;
    Settings.m_OwnHost = m_Settings.m_Self;
    Settings.m_Address = Home.m_Address;
    Settings.m_Port = Home.m_Port;
    Settings.m_CallTimeout = HomeTimeout;
    Link = std::make_unique<PeerLink>(m_Loop, m_ClusterKey, Settings);
  }
  return *Link;
}

bool SessionPointStore::isHomeOf(const SessionName &Session,
                                 const std::vector<EntryAddress> &Hosts) const {
  return std::ranges::any_of(selectHomes(Session, Hosts),
                             [this](const EntryAddress &Home) {
                               return Home.m_Host == m_Settings.m_Self;
                             });
}

std::vector<EntryAddress>
SessionPointStore::activeAndPreparingHomes(const SessionName &Session) const {
  std::vector<EntryAddress> Homes = selectHomes(Session, m_Homes.m_Active);
  // A process on which the list in preparation is already active stores only at
  // the homes of that list.
  for (const EntryAddress &Home : selectHomes(Session, m_Homes.m_Preparing)) {
    if (std::ranges::find(Homes, Home) == Homes.end()) {
      Homes.push_back(Home);
    }
  }
  return Homes;
}

} // namespace ragwortmux
