#ifndef RAGWORTMUX_VERSION_PRIMARYCHANGE_H
#define RAGWORTMUX_VERSION_PRIMARYCHANGE_H

#include "ragwortmux/Version/BackendCalls.h"
#include "ragwortmux/Version/LogPoint.h"

#include <map>
#include <optional>
#include <string>

namespace ragwortmux {

class LeaderContext;
class ServerWatch;
class UpdateTracker;
struct AppointPrimary;
struct GroupRecord;
struct ServerRecord;

/// Changes of primary: ends the term of a failed or leaving primary, waits for
/// every session, fences, appoints, promotes and makes the others follow.
///
/// Which step comes next follows from the group's record; calls and commands
/// are idempotent, so a new leader goes on where the previous one stopped.
class PrimaryChange final {
public:
  PrimaryChange(LeaderContext &Context, const UpdateTracker &Updates,
                const ServerWatch &Servers, BackendCalls &Calls)
      : m_Context(Context), m_Updates(Updates), m_Servers(Servers),
        m_Calls(Calls) {}

  void reset() { m_Groups.clear(); }
  void callCompleted(const BackendCalls::Call &Call,
                     const BackendCallResult &Result, Instant Now);
  /// Takes the next step of each group.
  void evaluate(Instant Now);

private:
  /// What this leader knows of one group's change.
  struct Progress final {
    Term m_Term;                            ///< The term that is prepared.
    std::map<ServerId, LogPoint> m_Fenced;  ///< Answers of fenced servers.
    std::optional<Instant> m_FirstFencedAt; ///< The first answer.
    std::optional<Instant> m_EndedAt;     ///< When the term's end was proposed.
    std::optional<Instant> m_AppointedAt; ///< When the primary was first seen.
    std::optional<Instant> m_RetiringAt;  ///< When it was first seen to leave.
    Revision m_RetiringRevision;          ///< The record that said so.
    std::optional<Instant> m_DrainingAt;  ///< When all had confirmed that.
    std::map<ServerId, Instant> m_FollowedAt; ///< Last calls to follow again.
    double m_Allowance = 0;               ///< Changes that may start at once.
    std::optional<Instant> m_AllowanceAt; ///< When m_Allowance was worked out.
  };

  Progress &progress(const GroupRecord &Group);
  void appointFirst(const GroupRecord &Group, Instant Now);
  void replaceIfNeeded(const GroupRecord &Group, Instant Now);
  std::string whyReplace(const GroupRecord &Group, Progress &Known, bool Failed,
                         Instant Now) const;
  bool isDrained(const GroupRecord &Group, Progress &Known, Instant Now) const;
  bool hasCandidate(const GroupRecord &Group, bool TakeLeaving,
                    Instant Now) const;
  bool takeAllowance(Progress &Known, Instant Now) const;
  void chooseNext(const GroupRecord &Group, Instant Now);
  bool isFencingDone(const GroupRecord &Group, const Progress &Known,
                     Instant Now) const;
  std::optional<AppointPrimary> choose(const GroupRecord &Group,
                                       const Progress &Known) const;
  bool isBetter(const GroupRecord &Group, const Progress &Known,
                const ServerRecord &Candidate, const ServerRecord &Best) const;
  bool isElectable(const GroupRecord &Group, const Progress &Known,
                   const ServerRecord &Server) const;
  std::size_t sessionsIn(const FailureDomainId &Domain) const;
  void directServers(const GroupRecord &Group, Instant Now);
  bool mustFollow(const GroupRecord &Group, Progress &Known,
                  const ServerRecord &Server, Instant Now) const;

  LeaderContext &m_Context;             ///< Shared.
  const UpdateTracker &m_Updates;       ///< What sessions have confirmed.
  const ServerWatch &m_Servers;         ///< What is known about servers.
  BackendCalls &m_Calls;                ///< Calls to backend servers.
  std::map<GroupId, Progress> m_Groups; ///< By group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_PRIMARYCHANGE_H
