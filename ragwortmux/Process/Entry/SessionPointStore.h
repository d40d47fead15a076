#ifndef RAGWORTMUX_PROCESS_ENTRY_SESSIONPOINTSTORE_H
#define RAGWORTMUX_PROCESS_ENTRY_SESSIONPOINTSTORE_H

#include "ragwortmux/Connection/ChooseHomes.h"
#include "ragwortmux/Process/Peers/ControlMessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace ragwortmux {

class IoLoop;
class PeerLink;
class Secret;

/// Settings of SessionPointStore.
struct SessionPointStoreSettings final {
  HostId m_Self;                        ///< This host.
  std::uint64_t m_Incarnation = 0;      ///< Identifies this process start.
  std::function<bool()> m_IsLeaseValid; ///< True while the lease is valid.
};

/// Stores the log positions of callers' sessions at their session homes, for
/// callers that send only a session name. Every entry process is both client
/// and server of this store.
///
/// A position counts as stored once one home of the active list, and one of the
/// list in preparation if there is one, has stored it. It counts as found only
/// if every active home knows the session, so the newest position is always
/// among the answers. A list of homes changes only after every process with a
/// lease has confirmed it, so a look-up also needs a valid lease.
class SessionPointStore final {
public:
  SessionPointStore(IoLoop &Loop, const Secret &ClusterKey,
                    SessionPointStoreSettings Settings);
  ~SessionPointStore();
  SessionPointStore(const SessionPointStore &) = delete;
  SessionPointStore &operator=(const SessionPointStore &) = delete;

  /// Applies the lists of homes from control; older revisions are ignored.
  void setHomes(const SessionHomesView &Homes);
  /// Revision of the lists of homes in use.
  Revision homesRevision() const { return m_Homes.m_Revision; }

  ///@name For this process's own callers
  /// Stores a position; \p Reply receives true once it counts as stored.
  void store(const SessionName &Session, const GroupId &Group,
             const LogPoint &Point, const std::function<void(bool)> &Reply);
  /// Stores the first position of a session that find() did not find for
  /// request \p LookedUpBy. \p Point is the position at which the primary has
  /// since served a read of the session.
  void storeIfNotRemoved(RequestId LookedUpBy, const SessionName &Session,
                         const GroupId &Group, const LogPoint &Point);
  /// Looks up a position; \p Reply receives no value if the newest position
  /// cannot be determined.
  void find(RequestId Request, const SessionName &Session, const GroupId &Group,
            const std::function<void(std::optional<LogPoint>)> &Reply);

  ///@name For other processes
  bool storeLocally(const SessionPointEntry &Entry);
  SessionLookup findLocally(const SessionPointKey &Key);

private:
  using Lookups = std::vector<std::optional<SessionLookup>>;
  using Tickets = std::map<HostId, SessionTicket>;

  std::vector<EntryAddress>
  selectHomes(const SessionName &Session,
              const std::vector<EntryAddress> &Hosts) const;
  void storeAt(const EntryAddress &Home, const SessionPointEntry &Entry,
               const std::function<void(bool)> &Reply);
  void findAt(const EntryAddress &Home, const SessionPointKey &Key,
              const std::function<void(std::optional<SessionLookup>)> &Reply);
  void storeAtAny(const std::vector<EntryAddress> &Homes,
                  const SessionPointEntry &Entry,
                  std::function<void(bool)> Reply);
  void storeTickets(RequestId Request, const std::vector<EntryAddress> &Homes,
                    const Lookups &Found);
  PeerLink &link(const EntryAddress &Home);
  bool isHomeOf(const SessionName &Session,
                const std::vector<EntryAddress> &Hosts) const;
  std::vector<EntryAddress>
  activeAndPreparingHomes(const SessionName &Session) const;

  IoLoop &m_Loop;                       ///< The event loop.
  const Secret &m_ClusterKey;           ///< The cluster key.
  SessionPointStoreSettings m_Settings; ///< This host and process.
  SessionHomesView m_Homes;             ///< The lists of homes in use.
  SessionHome m_LocalHome;              ///< Sessions whose home is this host.
  std::map<EntryAddress, std::unique_ptr<PeerLink>,
           bool (*)(const EntryAddress &, const EntryAddress &)>
      m_Links;                            ///< Connections to other homes.
  std::map<RequestId, Tickets> m_Tickets; ///< Of look-ups that found nothing.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_SESSIONPOINTSTORE_H
