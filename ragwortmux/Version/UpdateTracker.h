#ifndef RAGWORTMUX_VERSION_UPDATETRACKER_H
#define RAGWORTMUX_VERSION_UPDATETRACKER_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/CatalogueProgressLog.h"
#include "ragwortmux/Version/CatalogueRecords.h"
#include "ragwortmux/Version/GroupView.h"
#include "ragwortmux/Version/ListProgress.h"
#include "ragwortmux/Version/SessionHomeLists.h"

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace ragwortmux {

class GroupParticipants;
class LeaderContext;
struct GroupRecord;
struct LeaseRenewal;

/// Tracks which revisions of the group records, the catalogue and the session
/// homes each session has confirmed, and pushes newer ones.
///
/// Nothing is pushed to a session before its first renewal at this leader, and
/// no list before the reply: the renewal says what the session has, and the
/// reply brings the rest.
class UpdateTracker final {
public:
  UpdateTracker(LeaderContext &Context, const GroupParticipants &Participants);

  /// Discards all confirmations, which a new leader has to collect anew.
  void reset();
  void sessionEnded(ControlSessionId Session) { m_Sessions.erase(Session); }
  /// Records the revisions that \p Renewal confirms. Returns the groups of
  /// which it confirms a newer record than known before.
  std::vector<GroupId> renewalReceived(const LeaseRenewal &Renewal,
                                       Instant Now);
  /// Returns true if \p Confirmed is newer than known before.
  bool groupConfirmed(ControlSessionId Session, const GroupId &Group,
                      Revision Confirmed, Instant Now);
  void catalogueConfirmed(ControlSessionId Session, Revision Confirmed,
                          Instant Now);
  void homesConfirmed(ControlSessionId Session, Revision Confirmed,
                      Instant Now);
  /// Called when what was sent to \p Session is lost: the next reply brings the
  /// lists without waiting for the end of m_ListPushTimeout.
  void pushFailed(ControlSessionId Session);
  /// Pushes the record of \p Group to each participant that has not confirmed
  /// it.
  void pushGroup(const GroupRecord &Group, Instant Now);
  /// Pushes the catalogue and the session homes to each session that lacks them
  /// and has confirmed all that was sent before.
  void pushLists(Instant Now);
  /// Writes to the time line when all sessions have the newest catalogue, and
  /// if they take longer than a lease.
  void logCatalogueProgress(Instant Now);

  /// The revision of \p Group that \p Session has confirmed; 0 if unknown.
  Revision confirmed(ControlSessionId Session, const GroupId &Group) const;
  /// True if each participant of \p Group up to \p Last has confirmed \p
  /// Required; see GroupParticipants.
  bool allConfirmed(const GroupId &Group, Revision Required,
                    ControlSessionId Last) const;
  /// True if each participant of \p Group has confirmed \p Required.
  bool allConfirmed(const GroupId &Group, Revision Required) const;
  /// True if each open session has confirmed revision \p Required of the
  /// session homes.
  bool allConfirmedHomes(Revision Required) const;
  /// The records that \p Session has not confirmed, of the groups in which it
  /// takes part. They count as pushed.
  std::vector<GroupView> takeUnconfirmedViews(ControlSessionId Session,
                                              Instant Now);
  /// The catalogue changes that \p Session has not confirmed, if there are any
  /// and they are not on their way. They count as sent.
  std::optional<CatalogueDelta>
  takeUnconfirmedCatalogue(ControlSessionId Session, Instant Now);
  /// The session homes unless \p Session has confirmed them or they are on
  /// their way. They count as sent.
  std::shared_ptr<const SessionHomeLists>
  takeUnconfirmedHomes(ControlSessionId Session, Instant Now);
  /// Records that a renewal of \p Session is answered. From then on lists are
  /// pushed to it.
  void renewalAnswered(ControlSessionId Session) {
    m_Sessions[Session].m_IsAnswered = true;
  }
  /// True if \p Session may lack a catalogue change that is older than a lease.
  bool isCatalogueOverdue(ControlSessionId Session, Instant Now) const;
  /// True if \p Session has not confirmed a pushed record of a group in which
  /// it takes part for longer than the length of a lease.
  bool isStalled(ControlSessionId Session, Instant Now) const;

private:
  /// A session's confirmations of one record.
  struct Progress final {
    Revision m_Confirmed; ///< Latest confirmed revision.
    Revision m_Pushed;    ///< Latest pushed revision.
    Term m_PushedTerm;    ///< Term of the record that was pushed.
    std::optional<ServerId> m_PushedPrimary; ///< Its primary.
    Instant m_PushedAt{};                    ///< When.
    Instant
        m_WaitingSince{}; ///< Since when there has been an unconfirmed push.

    /// Returns true if \p Confirmed is newer than known before.
    bool confirm(Revision Confirmed, Instant Now);
    /// Records that \p Group is pushed now.
    void recordPush(const GroupRecord &Group, Instant Now);
    bool isWaiting() const { return m_Confirmed < m_Pushed; }
    /// True if \p Group has to be pushed now. Shares move many times when hosts
    /// come and go, so that a record without a new primary waits until the one
    /// before it has arrived, or for \p Retry.
    bool isPushDue(const GroupRecord &Group, Instant Now, Duration Retry) const;
  };

  struct SessionProgress final {
    std::map<GroupId, Progress> m_Groups; ///< Group records.
    ListProgress m_Catalogue;             ///< The catalogue.
    ListProgress m_Homes;                 ///< The session homes.
    bool m_IsAnswered = false; ///< This leader has answered a renewal.
  };

  const SessionProgress *find(ControlSessionId Session) const;
  /// The session homes, copied once for all sessions: they name all hosts.
  const std::shared_ptr<const SessionHomeLists> &sharedHomes();

  LeaderContext &m_Context;                ///< Shared.
  const GroupParticipants &m_Participants; ///< Who takes part in each group.
  std::map<ControlSessionId, SessionProgress> m_Sessions; ///< By session.
  std::shared_ptr<const SessionHomeLists> m_SharedHomes; ///< See sharedHomes().
  CatalogueProgressLog m_CatalogueLog; ///< When sessions have the catalogue.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_UPDATETRACKER_H
