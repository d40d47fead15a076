#ifndef RAGWORTMUX_VERSION_PRIMARYCHANGE_H
#define RAGWORTMUX_VERSION_PRIMARYCHANGE_H

#include "ragwortmux/Version/BackendCalls.h"
#include "ragwortmux/Version/LogPoint.h"

#include <map>
#include <optional>
#include <string>

namespace ragwortmux {

class LeaderContext;
class ServerMonitor;
class UpdateTracker;
struct AppointPrimary;
struct GroupRecord;
struct ServerRecord;

/// Changes the primary of groups with an in-sync set
/// (ReplicationMode::InSyncSet).
///
/// A change ends the term of a failed or leaving primary, waits until every
/// session has confirmed that, fences the in-sync servers, appoints one of
/// them, promotes it and redirects the other servers to it. The next step
/// follows from the group's record, and calls and commands are idempotent, so a
/// new leader continues where the previous one stopped.
class PrimaryChange final {
public:
  PrimaryChange(LeaderContext &Context, const UpdateTracker &Updates,
                const ServerMonitor &Servers, BackendCalls &Calls)
      : m_Context(Context), m_Updates(Updates), m_Servers(Servers),
        m_Calls(Calls) {}

  void reset() { m_Groups.clear(); }
  void callCompleted(const BackendCalls::Call &Call,
                     const BackendCallResult &Result, Instant Now);
  /// Takes the next step in \p Group unless it is a delegated one.
  void evaluate(const GroupRecord &Group, Instant Now);

private:
  /// The state of one group's change in this leader.
  struct Progress final {
    Term m_Term; ///< The term to which the other members apply.
    std::map<ServerId, LogPoint>
        m_Fenced; ///< Term and position of each fenced server.
    std::optional<Instant>
        m_FirstFencedAt; ///< Time of the first answer to a fence call.
    std::optional<Instant>
        m_EndTermProposedAt; ///< When EndTerm was last proposed.
    std::optional<Instant>
        m_LastPromotedAt; ///< When the appointed server was last seen to act as
                          ///< primary; until it does, when it was first seen
                          ///< appointed.
    std::optional<Instant>
        m_LeavingSince; ///< When the primary was first seen to be leaving.
    Revision m_LeavingRevision; ///< The group's revision at that time.
    std::optional<Instant>
        m_DrainStartedAt; ///< When all sessions had confirmed that revision.
    std::map<ServerId, Instant>
        m_FollowRetriedAt; ///< Last repeated follow call to each server.
    double m_ChangeTokens =
        0; ///< Tokens of the rate limit: changes that may start at once.
    std::optional<Instant>
        m_TokensUpdatedAt; ///< When m_ChangeTokens was last updated.
  };

  Progress &progress(const GroupRecord &Group);
  void appointFirst(const GroupRecord &Group, Instant Now);
  void replaceIfNeeded(const GroupRecord &Group, Instant Now);
  std::string replacementReason(const GroupRecord &Group, Progress &Change,
                                bool HasFailed, Instant Now) const;
  bool isDrained(const GroupRecord &Group, Progress &Change, Instant Now) const;
  bool hasCandidate(const GroupRecord &Group, bool AllowLeaving,
                    Instant Now) const;
  bool consumeChangeToken(Progress &Change, Instant Now) const;
  void electPrimary(const GroupRecord &Group, Instant Now);
  bool isFencingDone(const GroupRecord &Group, const Progress &Change,
                     Instant Now) const;
  std::optional<AppointPrimary> choosePrimary(const GroupRecord &Group,
                                              const Progress &Change) const;
  bool isBetterCandidate(const GroupRecord &Group, const Progress &Change,
                         const ServerRecord &Candidate,
                         const ServerRecord &Best) const;
  bool isElectable(const GroupRecord &Group, const Progress &Change,
                   const ServerRecord &Server) const;
  std::size_t countSessionsIn(const FailureDomainId &Domain) const;
  void promoteAndRedirect(const GroupRecord &Group, Instant Now);
  bool needsFollowCall(const GroupRecord &Group, Progress &Change,
                       const ServerRecord &Server, Instant Now) const;

  LeaderContext &m_Context;             ///< Shared.
  const UpdateTracker &m_Updates;       ///< What sessions have confirmed.
  const ServerMonitor &m_Servers;       ///< Observed state of backend servers.
  BackendCalls &m_Calls;                ///< Calls to backend servers.
  std::map<GroupId, Progress> m_Groups; ///< By group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_PRIMARYCHANGE_H
