#ifndef RAGWORTMUX_VERSION_DELEGATEDPRIMARYCHANGE_H
#define RAGWORTMUX_VERSION_DELEGATEDPRIMARYCHANGE_H

#include "ragwortmux/Version/BackendCalls.h"
#include "ragwortmux/Version/LogPoint.h"
#include "ragwortmux/Version/PromotionEvidence.h"

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
/// positions, records which one is to be promoted and promotes it. That server
/// is appointed only once its answers prove that the promotion has taken effect
/// (see assessPromotion()): until then it may still be applying its log, or
/// lead an earlier term that another server's promotion has ended.
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
    LogPoint m_Point;         ///< The server's own term and position.
    RoleAnswer m_Role;        ///< The server's role and term.
    std::uint64_t m_Call = 0; ///< Number of the answered call.
    Instant m_At{};           ///< When the answer arrived.
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
        m_AnswersCountSince; ///< When earlier answers were last discarded; none
                             ///< until all sessions have confirmed the end of
                             ///< the term.
    bool m_AwaitsOrders = false; ///< An earlier order may still take effect.
    std::uint64_t m_LastOutdatedCall =
        0; ///< Number of the last call before that; answers to calls up to it
           ///< do not count.
    std::optional<ServerId>
        m_PromotionTarget; ///< The server that is being promoted; no other one
                           ///< gets a promote call meanwhile.
    std::optional<Instant>
        m_PromotionStartedAt; ///< When its first promote call was made; none
                              ///< while the order is being recorded.
    std::optional<Instant>
        m_PromotionAcceptedAt;             ///< When its promotion was accepted.
    std::optional<ServerId> m_LastOrdered; ///< The server that this leader last
                                           ///< ordered to lead.
    Term m_TermBeforeOrder; ///< See PromotionAttempt::m_TermBefore; of the
                            ///< first of the last orders to the same server.
    std::optional<Instant> m_FirstClaimAt; ///< First term: when a server first
                                           ///< reported that it is the primary.
    Instant
        m_NextPromotionAt{}; ///< No promote call to another server before this.
    bool m_IsMissingReported = false; ///< See reportMissingAnswers().
  };

  Progress &progress(const GroupRecord &Group);
  /// Appoints the server that leads when the group is met for the first time.
  void appointFirst(const GroupRecord &Group, Instant Now);
  /// True if all servers have answered or failed to, or were waited for.
  bool hasHeardAll(const GroupRecord &Group, const Progress &Change,
                   Instant Now) const;
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
  /// Makes earlier answers count no more and asks all servers again.
  void discardAnswers(Progress &Change, Instant Now) const;
  /// Promotes the best server that has everything up to \p Acknowledged, if
  /// there is one.
  void promoteBest(const GroupRecord &Group, Progress &Change,
                   const LogPoint &Acknowledged, Instant Now);
  void awaitPromotion(const GroupRecord &Group, Progress &Change, Instant Now);
  /// Orders the promotion of \p Server, unless it has been accepted already.
  void orderPromotion(const GroupRecord &Group, Progress &Change,
                      const ServerRecord &Server, Instant Now);
  /// The answer that proves that the ordered promotion has taken effect; null
  /// while there is none.
  const PositionAnswer *proofOfPromotion(const GroupRecord &Group,
                                         const Progress &Change) const;
  /// Newest term that a server of the group has shown.
  static Term newestServerTerm(const GroupRecord &Group,
                               const Progress &Change);
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
