#ifndef RAGWORTMUX_VERSION_DELEGATEDPRIMARYCHANGE_H
#define RAGWORTMUX_VERSION_DELEGATEDPRIMARYCHANGE_H

#include "ragwortmux/Version/BackendCalls.h"
#include "ragwortmux/Version/LogPoint.h"

#include <map>
#include <optional>
#include <string>

namespace ragwortmux {

class LeaderContext;
class ServerWatch;
class UpdateTracker;
struct GroupRecord;
struct ServerRecord;

/// Changes of primary of groups whose servers replicate by themselves and keep
/// their own terms (ReplicationMode::Delegated).
///
/// Ends the group's term, waits until every session has confirmed that or its
/// lease has run out, asks the servers for their positions, promotes the one
/// that holds most, and appoints it only once it says that it is the primary:
/// until then it may serve data that lacks what it is still applying.
class DelegatedPrimaryChange final {
public:
  DelegatedPrimaryChange(LeaderContext &Context, const UpdateTracker &Updates,
                         const ServerWatch &Servers, BackendCalls &Calls)
      : m_Context(Context), m_Updates(Updates), m_Servers(Servers),
        m_Calls(Calls) {}

  void reset() { m_Groups.clear(); }
  /// This process leads. A change that the previous leader left open waits
  /// until no promotion of that leader can still be on its way.
  void becameLeader(Instant Now);
  void callCompleted(const BackendCalls::Call &Call,
                     const BackendCallResult &Result, Instant Now);
  /// Takes the next step of each delegated group.
  void evaluate(Instant Now);

private:
  /// What a server said of itself.
  struct Stated final {
    LogPoint m_Point;                          ///< Its own term and position.
    BackendRole m_Role = BackendRole::Replica; ///< Its role.
    std::uint64_t m_Call = 0;                  ///< The call that it answered.
    Instant m_At{};                            ///< When.
  };

  /// What this leader knows of one group.
  struct Progress final {
    Term m_Term;                           ///< The term that the rest is about.
    std::map<ServerId, Stated> m_Stated;   ///< Last answer of each server.
    std::map<ServerId, Instant> m_AskedAt; ///< Last position calls.
    std::map<ServerId, Instant> m_FailedAt;     ///< Last failed ones.
    std::map<ServerId, Instant> m_RefusedUntil; ///< Not to be promoted before.
    std::optional<Instant> m_DoubtedSince;      ///< Enough proxies complain.
    std::optional<Instant> m_EndedAt;           ///< End of the term proposed.
    std::optional<Instant> m_ConfirmedAt; ///< All sessions had confirmed it.
    std::uint64_t m_CallsBefore = 0;      ///< Calls made before that.
    std::optional<ServerId> m_Ordered;    ///< Was ordered to lead; no other one
                                          ///< is until that has come to an end.
    Instant m_OrderedAt{};                ///< When.
    bool m_IsAccepted = false;            ///< The order was accepted.
    Instant m_AcceptedAt{};               ///< When.
    Instant m_NextOrderAt{};              ///< No order to another before this.
  };

  Progress &progress(const GroupRecord &Group);
  void appointFirst(const GroupRecord &Group, Instant Now);
  void watchPrimary(const GroupRecord &Group, Instant Now);
  std::string whyReplace(const GroupRecord &Group, Progress &Known,
                         Instant Now);
  bool hasCandidate(const GroupRecord &Group, Instant Now) const;
  void chooseNext(const GroupRecord &Group, Instant Now);
  void promoteBest(const GroupRecord &Group, Progress &Known, Instant Now);
  void awaitPromotion(const GroupRecord &Group, Progress &Known, Instant Now);
  void giveUpOrder(Progress &Known, Instant Now) const;
  bool areAnswersIn(const GroupRecord &Group, const Progress &Known,
                    Instant Now) const;
  /// True if commits of the group wait for replicas.
  bool isSynchronous(const GroupRecord &Group) const;
  const ServerRecord *best(const GroupRecord &Group, const Progress &Known,
                           Instant Now) const;
  const Stated *fresh(const Progress &Known, const ServerId &Server) const;
  bool isAnnounced(const GroupRecord &Group, const ServerId &Server,
                   Instant Now) const;
  void ask(const GroupRecord &Group, const ServerRecord &Server,
           Progress &Known, Instant Now);

  LeaderContext &m_Context;               ///< Shared.
  const UpdateTracker &m_Updates;         ///< What sessions have confirmed.
  const ServerWatch &m_Servers;           ///< What is known of servers.
  BackendCalls &m_Calls;                  ///< Calls to servers.
  std::map<GroupId, Progress> m_Groups;   ///< By group.
  std::map<GroupId, Instant> m_NotBefore; ///< No promotion before this.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_DELEGATEDPRIMARYCHANGE_H
