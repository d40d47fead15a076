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

/// The in-sync sets: drops servers that are silent, leave or lag, and takes
/// them in again in two steps.
///
/// A Joining server is waited for by writers once every session has confirmed
/// the record that names it. From then on it holds each newly acknowledged
/// write; it holds the earlier ones too once it has applied a position that the
/// primary had after the last confirmation. Then it becomes InSync.
class SyncKeeper final {
public:
  SyncKeeper(LeaderContext &Context, const UpdateTracker &Updates,
             ServerWatch &Servers, BackendCalls &Calls)
      : m_Context(Context), m_Updates(Updates), m_Servers(Servers),
        m_Calls(Calls) {}

  void reset();
  void callCompleted(const BackendCalls::Call &Call,
                     const BackendCallResult &Result);
  /// Proposes the changes that are due in each group.
  void evaluate(Instant Now);

private:
  /// A Joining server's way to InSync.
  struct Joining final {
    Revision m_SyncRevision; ///< The record that names it Joining.
    std::optional<std::uint64_t> m_CallsBefore; ///< The last call before all
                                                ///< sessions had confirmed.
    std::optional<LogPoint> m_Target;           ///< To be applied.
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
  ServerWatch &m_Servers;               ///< What is known about servers.
  BackendCalls &m_Calls;                ///< Calls to backend servers.
  std::map<Place, Joining> m_Joining;   ///< Joining servers.
  std::map<Place, Instant> m_DroppedAt; ///< Last drops.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SYNCKEEPER_H
