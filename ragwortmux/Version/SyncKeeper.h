#ifndef RAGWORTMUX_VERSION_SYNCKEEPER_H
#define RAGWORTMUX_VERSION_SYNCKEEPER_H

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
class ServerWatch;
class UpdateTracker;
struct GroupRecord;
struct ServerRecord;

/// Maintains the in-sync sets: drops servers that are silent, leaving or
/// lagging and readmits them in two steps.
///
/// A server first becomes Joining. Once
/// every session has confirmed that record, all writers wait for the server, so
/// that it has each newly acknowledged write. It also has the earlier ones once
/// it has applied a position that the primary reached after the last
/// confirmation. Then it becomes InSync.
class SyncKeeper final {
public:
  SyncKeeper(LeaderContext &Context, const UpdateTracker &Updates,
             ServerWatch &Servers, BackendCalls &Calls)
      : m_Context(Context), m_Updates(Updates), m_Servers(Servers),
        m_Calls(Calls) {}

  void reset();
  void callCompleted(const BackendCalls::Call &Call,
                     const BackendCallResult &Result);
  /// Proposes the due changes in each group.
  void evaluate(Instant Now);

private:
  /// The progress of a Joining server towards InSync.
  struct Joining final {
    Revision m_SyncRevision; ///< The group's revision that made it Joining.
    std::optional<std::uint64_t>
        m_CallsBefore; ///< Last call number when all sessions had confirmed
                       ///< that; none until then.
    std::optional<LogPoint>
        m_Target; ///< The primary's position that it has to apply.
  };

  using Place = std::pair<GroupId, ServerId>;

  void evaluateServer(const GroupRecord &Group, const ServerRecord &Server,
                      Instant Now);
  bool isUnfit(const GroupRecord &Group, const ServerRecord &Server,
               Instant Now) const;
  bool mayDrop(const GroupRecord &Group, const ServerRecord &Server) const;
  bool mayJoin(const GroupRecord &Group, const ServerRecord &Server,
               Instant Now) const;
  void advanceJoining(const GroupRecord &Group, const ServerRecord &Server,
                      Instant Now);
  void propose(const GroupRecord &Group, const ServerRecord &Server,
               SyncState Sync, Instant Now);

  LeaderContext &m_Context;             ///< Shared.
  const UpdateTracker &m_Updates;       ///< What sessions have confirmed.
  ServerWatch &m_Servers;               ///< Observed state of backend servers.
  BackendCalls &m_Calls;                ///< Calls to backend servers.
  std::map<Place, Joining> m_Joining;   ///< Joining servers.
  std::map<Place, Instant> m_DroppedAt; ///< When servers were last dropped.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SYNCKEEPER_H
