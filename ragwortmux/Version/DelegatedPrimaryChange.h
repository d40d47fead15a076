#ifndef RAGWORTMUX_VERSION_DELEGATEDPRIMARYCHANGE_H
#define RAGWORTMUX_VERSION_DELEGATEDPRIMARYCHANGE_H

#include "ragwortmux/Version/BackendCalls.h"
#include "ragwortmux/Version/LogPoint.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace ragwortmux {

class GroupParticipants;
class LeaderContext;
class ServerMonitor;
class UpdateTracker;
struct GroupRecord;
struct ServerRecord;

/// Changes the primary of groups whose servers manage replication and terms by
/// themselves (ReplicationMode::Delegated).
///
/// A change ends the group's term, waits until every participant has confirmed
/// that or its lease has expired (see GroupParticipants), queries the servers'
/// positions and promotes the most advanced one. That server is appointed only
/// once it reports the primary role: before that it may still be applying its
/// log and would serve incomplete data.
class DelegatedPrimaryChange final {
public:
  DelegatedPrimaryChange(LeaderContext &Context,
                         const GroupParticipants &Participants,
                         const UpdateTracker &Updates,
                         const ServerMonitor &Servers, BackendCalls &Calls)
      : m_Context(Context), m_Participants(Participants), m_Updates(Updates),
        m_Servers(Servers), m_Calls(Calls) {}

  void reset() { m_Groups.clear(); }
  /// Called when this process has become leader. A change that the previous
  /// leader left unfinished waits until no promote call of that leader can
  /// still be in flight.
  void becameLeader(Instant Now);
  void callCompleted(const BackendCalls::Call &Call,
                     const BackendCallResult &Result, Instant Now);
  /// Takes the next step in \p Group if it is a delegated one.
  void evaluate(const GroupRecord &Group, Instant Now);

private:
  /// A server's answer to a position call.
  struct PositionAnswer final {
    LogPoint m_Point; ///< The server's own term and position.
    BackendRole m_Role = BackendRole::Replica; ///< The server's role.
    std::uint64_t m_Call = 0;                  ///< Number of the answered call.
    Instant m_At{};                            ///< When the answer arrived.
  };

  /// The state of one group in this leader.
  struct Progress final {
    Term m_Term; ///< The term to which the other members apply.
    std::map<ServerId, PositionAnswer>
        m_Answers; ///< Last answer of each server.
    std::map<ServerId, Instant>
        m_PositionCalledAt; ///< Last position call to each server.
    std::map<ServerId, Instant>
        m_PositionFailedAt; ///< Last failed position call to each server.
    std::map<ServerId, Instant>
        m_ExcludedUntil; ///< Servers that must not be promoted before these
                         ///< times.
    std::optional<Instant>
        m_UnreachableSince; ///< Since when m_UnreachablePercent of the proxies
                            ///< have reported the primary as unreachable.
    std::optional<Instant>
        m_EndTermProposedAt; ///< When EndTerm was last proposed.
    std::optional<Instant>
        m_TermEndConfirmedAt; ///< When all sessions had confirmed the end of
                              ///< the term.
    std::uint64_t m_LastOutdatedCall =
        0; ///< Number of the last call before that; answers to calls up to it
           ///< do not count.
    std::optional<ServerId>
        m_PromotionTarget; ///< The server that is being promoted; no other one
                           ///< gets a promote call meanwhile.
    Instant m_PromotionStartedAt{}; ///< When that promotion began.
    bool m_IsPromotionAccepted =
        false;                       ///< The server has accepted the promotion.
    Instant m_PromotionAcceptedAt{}; ///< When it was accepted.
    Instant
        m_NextPromotionAt{}; ///< No promote call to another server before this.
    bool m_IsMissingReported = false; ///< See reportMissingAnswers().
  };

  Progress &progress(const GroupRecord &Group);
  void appointFirst(const GroupRecord &Group, Instant Now);
  void replaceIfNeeded(const GroupRecord &Group, Instant Now);
  std::string replacementReason(const GroupRecord &Group, Progress &Change,
                                Instant Now);
  /// The number of proxies that may open connections to \p Server and can thus
  /// tell whether it is reachable. If there are none yet, the number of
  /// participants.
  std::size_t connectedProxies(const GroupRecord &Group,
                               const ServerRecord &Server) const;
  bool hasCandidate(const GroupRecord &Group, Instant Now) const;
  void electPrimary(const GroupRecord &Group, Instant Now);
  /// Promotes the best server that has everything up to \p Acknowledged, if
  /// there is one.
  void promoteBest(const GroupRecord &Group, Progress &Change,
                   const LogPoint &Acknowledged, Instant Now);
  void awaitPromotion(const GroupRecord &Group, Progress &Change, Instant Now);
  /// True if the promoted server is not to be waited for any longer.
  bool hasPromotionFailed(const Progress &Change, Instant Now) const;
  void abandonPromotion(Progress &Change, Instant Now) const;
  bool hasEnoughAnswers(const GroupRecord &Group, const Progress &Change,
                        Instant Now) const;
  /// True if the group's primary waits for replicas before it acknowledges a
  /// commit.
  bool isSynchronous(const GroupRecord &Group) const;
  /// True if a commit that a synchronous group has acknowledged may be on
  /// \p Server, whether or not it is heard at the moment.
  static bool mayHoldCommits(const GroupRecord &Group,
                             const ServerRecord &Server);
  /// For a synchronous group: a position that no acknowledged commit lies
  /// beyond; none while the servers that have answered cannot tell.
  std::optional<LogPoint> acknowledgedPoint(const GroupRecord &Group,
                                            const Progress &Change,
                                            Instant Now) const;
  void reportMissingAnswers(const GroupRecord &Group, Progress &Change,
                            Instant Now);
  const ServerRecord *bestCandidate(const GroupRecord &Group,
                                    const Progress &Change,
                                    const LogPoint &Acknowledged,
                                    Instant Now) const;
  const PositionAnswer *freshAnswer(const Progress &Change,
                                    const ServerId &Server) const;
  bool isAnnounced(const GroupRecord &Group, const ServerId &Server,
                   Instant Now) const;
  void requestPosition(const GroupRecord &Group, const ServerRecord &Server,
                       Progress &Change, Instant Now);

  LeaderContext &m_Context;                ///< Shared.
  const GroupParticipants &m_Participants; ///< Who takes part in each group.
  const UpdateTracker &m_Updates;          ///< What sessions have confirmed.
  const ServerMonitor &m_Servers;       ///< Observed state of backend servers.
  BackendCalls &m_Calls;                ///< Calls to backend servers.
  std::map<GroupId, Progress> m_Groups; ///< By group.
  std::map<GroupId, Instant>
      m_NoPromotionBefore; ///< No promote call in a group before
                           ///< this, see becameLeader().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_DELEGATEDPRIMARYCHANGE_H
