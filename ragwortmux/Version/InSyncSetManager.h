#ifndef RAGWORTMUX_VERSION_INSYNCSETMANAGER_H
#define RAGWORTMUX_VERSION_INSYNCSETMANAGER_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/BackendCalls.h"
#include "ragwortmux/Version/GroupView.h"
#include "ragwortmux/Version/LogPoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace ragwortmux {

class LeaderContext;
class ServerMonitor;
class UpdateTracker;
struct GroupRecord;
struct ServerRecord;

/// Maintains the in-sync sets: drops servers that are silent, leaving or
/// lagging and readmits them in two steps.
///
/// A server first becomes Joining. Once every session has confirmed that
/// record, all writers wait for the server, so that it has each newly
/// acknowledged write. It also has the earlier ones once it has applied a
/// position that the primary reached after the last confirmation. Then it
/// becomes InSync.
class InSyncSetManager final {
public:
  InSyncSetManager(LeaderContext &Context, const UpdateTracker &Updates,
                   ServerMonitor &Servers, BackendCalls &Calls)
      : m_Context(Context), m_Updates(Updates), m_Servers(Servers),
        m_Calls(Calls) {}

  void reset();
  void callCompleted(const BackendCalls::Call &Call,
                     const BackendCallResult &Result);
  /// Proposes the due changes in \p Group.
  void evaluate(const GroupRecord &Group, Instant Now);

private:
  /// The progress of a Joining server towards InSync.
  struct JoinProgress final {
    Revision m_SyncRevision; ///< The group's revision that made it Joining.
    std::optional<std::uint64_t>
        m_LastOutdatedCall; ///< Last call number when all sessions had
                            ///< confirmed that; none until then.
    std::optional<LogPoint>
        m_Target; ///< The primary's position that it has to apply.
  };

  using ServerKey = std::pair<GroupId, ServerId>;

  void evaluateServer(const GroupRecord &Group, const ServerRecord &Server,
                      Instant Now);
  bool isUnfit(const GroupRecord &Group, const ServerRecord &Server,
               Instant Now) const;
  bool canDrop(const GroupRecord &Group, const ServerRecord &Server) const;
  bool canJoin(const GroupRecord &Group, const ServerRecord &Server,
               Instant Now) const;
  void advanceJoining(const GroupRecord &Group, const ServerRecord &Server,
                      Instant Now);
  void propose(const GroupRecord &Group, const ServerRecord &Server,
               SyncState Sync, Instant Now);

  LeaderContext &m_Context;       ///< Shared.
  const UpdateTracker &m_Updates; ///< What sessions have confirmed.
  ServerMonitor &m_Servers;       ///< Observed state of backend servers.
  BackendCalls &m_Calls;          ///< Calls to backend servers.
  std::map<ServerKey, JoinProgress> m_Joining; ///< Joining servers.
  std::map<ServerKey, Instant> m_DroppedAt; ///< When servers were last dropped.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_INSYNCSETMANAGER_H
