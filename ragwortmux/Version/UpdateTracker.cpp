#include "ragwortmux/Version/UpdateTracker.h"

#include "ragwortmux/Version/ControlEvents.h"
#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/GroupParticipants.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/MakeGroupView.h"

#include <algorithm>

namespace ragwortmux {

UpdateTracker::UpdateTracker(LeaderContext &Context,
                             const GroupParticipants &Participants)
    : m_Context(Context), m_Participants(Participants),
      m_CatalogueLog(Context.settings().m_Lease) {}

void UpdateTracker::reset() {
  m_Sessions.clear();
  m_SharedHomes = nullptr;
  m_CatalogueLog.reset();
}

bool UpdateTracker::Progress::confirm(Revision Confirmed, Instant Now) {
  if (Confirmed <= m_Confirmed)
    return false;
  m_Confirmed = Confirmed;
  m_WaitingSince = Now;
  return true;
}

bool UpdateTracker::Progress::isPushDue(const GroupRecord &Group, Instant Now,
                                        Duration Retry) const {
  if (m_Confirmed >= Group.m_Revision)
    return false;
  const bool HasNewPrimary =
      m_PushedTerm != Group.m_Term || m_PushedPrimary != Group.m_Primary;
  const bool IsOnItsWay = isWaiting() && Now - m_PushedAt < Retry;
  return HasNewPrimary || !IsOnItsWay;
}

void UpdateTracker::Progress::recordPush(const GroupRecord &Group,
                                         Instant Now) {
  if (!isWaiting())
    m_WaitingSince = Now;
  m_Pushed = Group.m_Revision;
  m_PushedTerm = Group.m_Term;
  m_PushedPrimary = Group.m_Primary;
  m_PushedAt = Now;
}

std::vector<GroupId> UpdateTracker::renewalReceived(const LeaseRenewal &Renewal,
                                                    Instant Now) {
  std::vector<GroupId> Changed;
  for (const auto &[Group, Confirmed] : Renewal.m_Confirmed) {
    if (groupConfirmed(Renewal.m_Session, Group, Confirmed, Now))
      Changed.push_back(Group);
  }
  catalogueConfirmed(Renewal.m_Session, Renewal.m_Catalogue, Now);
  homesConfirmed(Renewal.m_Session, Renewal.m_Homes, Now);
  return Changed;
}

bool UpdateTracker::groupConfirmed(ControlSessionId Session,
                                   const GroupId &Group, Revision Confirmed,
                                   Instant Now) {
  // Reject revisions that the log has not reached yet.
  const GroupRecord *Record = m_Context.state().groups().find(Group);
  if (Record == nullptr || Confirmed > Record->m_Revision ||
      m_Context.state().sessions().find(Session) == nullptr)
    return false;
  return m_Sessions[Session].m_Groups[Group].confirm(Confirmed, Now);
}

void UpdateTracker::catalogueConfirmed(ControlSessionId Session,
                                       Revision Confirmed, Instant Now) {
  const ControlState &State = m_Context.state();
  if (State.sessions().find(Session) != nullptr)
    m_Sessions[Session].m_Catalogue.confirm(Confirmed,
                                            State.catalogue().revision(), Now);
}

void UpdateTracker::homesConfirmed(ControlSessionId Session, Revision Confirmed,
                                   Instant Now) {
  const ControlState &State = m_Context.state();
  if (State.sessions().find(Session) != nullptr)
    m_Sessions[Session].m_Homes.confirm(Confirmed, State.homes().m_Revision,
                                        Now);
}

void UpdateTracker::pushFailed(ControlSessionId Session) {
  const auto Found = m_Sessions.find(Session);
  if (Found == m_Sessions.end())
    return;
  Found->second.m_Catalogue.sendFailed();
  Found->second.m_Homes.sendFailed();
}

void UpdateTracker::pushGroup(const GroupRecord &Group, Instant Now) {
  for (const ControlSessionId Session :
       m_Participants.participants(Group.m_Group)) {
    if (!m_Participants.hasRenewed(Session))
      continue;
    Progress &Each = m_Sessions[Session].m_Groups[Group.m_Group];
    if (!Each.isPushDue(Group, Now, m_Context.settings().m_PushRetry))
      continue;
    Each.recordPush(Group, Now);
    m_Context.addAction(PushGroupView{
        Session, *makeGroupView(m_Context.state(), Group.m_Group, Session)});
  }
}

void UpdateTracker::pushLists(Instant Now) {
  const ControlState &State = m_Context.state();
  const Catalogue &Entries = State.catalogue();
  const Revision Homes = State.homes().m_Revision;
  for (auto &[Session, Progress] : m_Sessions) {
    if (!Progress.m_IsAnswered)
      continue;
    if (Progress.m_Catalogue.isPushDue(Entries.revision())) {
      Progress.m_Catalogue.sent(Entries.revision(), Now);
      m_Context.addAction(PushCatalogue{
          Session, Entries.deltaSince(Progress.m_Catalogue.confirmed())});
    }
    if (Progress.m_Homes.isPushDue(Homes)) {
      Progress.m_Homes.sent(Homes, Now);
      m_Context.addAction(PushSessionHomes{Session, sharedHomes()});
    }
  }
}

void UpdateTracker::logCatalogueProgress(Instant Now) {
  CatalogueProgressLog::Progress Progress;
  Progress.m_Newest = m_Context.state().catalogue().revision();
  if (!m_CatalogueLog.isWaiting(Progress.m_Newest))
    return;
  Progress.m_Sessions = m_Context.state().sessions().size();
  for (const auto &[Session, Confirmations] : m_Sessions) {
    if (Confirmations.m_Catalogue.confirmed() >= Progress.m_Newest)
      ++Progress.m_Confirmed;
  }
  if (auto Line = m_CatalogueLog.update(Progress, Now))
    m_Context.addTimelineLine(std::move(*Line));
}

Revision UpdateTracker::confirmed(ControlSessionId Session,
                                  const GroupId &Group) const {
  const SessionProgress *Confirmations = find(Session);
  if (Confirmations == nullptr)
    return {};
  const auto Found = Confirmations->m_Groups.find(Group);
  return Found == Confirmations->m_Groups.end() ? Revision()
                                                : Found->second.m_Confirmed;
}

bool UpdateTracker::allConfirmed(const GroupId &Group, Revision Required,
                                 ControlSessionId Last) const {
  const std::vector<ControlSessionId> Sessions =
      m_Participants.participants(Group);
  return std::all_of(
      Sessions.begin(), Sessions.end(), [&](ControlSessionId Session) {
        return Session > Last || confirmed(Session, Group) >= Required;
      });
}

bool UpdateTracker::allConfirmed(const GroupId &Group,
                                 Revision Required) const {
  return allConfirmed(Group, Required, m_Context.state().sessions().last());
}

bool UpdateTracker::allConfirmedHomes(Revision Required) const {
  bool All = true;
  m_Context.state().sessions().forEachSession(
      [&](const SessionRecord &Session) {
        const SessionProgress *Confirmations = find(Session.m_Session);
        if (Confirmations == nullptr ||
            Confirmations->m_Homes.confirmed() < Required)
          All = false;
      });
  return All;
}

std::vector<GroupView>
UpdateTracker::takeUnconfirmedViews(ControlSessionId Session, Instant Now) {
  std::vector<GroupView> Views;
  const ControlState &State = m_Context.state();
  State.groups().forEachGroup([&](const GroupRecord &Group) {
    if (confirmed(Session, Group.m_Group) >= Group.m_Revision ||
        !m_Participants.contains(Session, Group.m_Group))
      return;
    m_Sessions[Session].m_Groups[Group.m_Group].recordPush(Group, Now);
    Views.push_back(*makeGroupView(State, Group.m_Group, Session));
  });
  return Views;
}

std::optional<CatalogueDelta>
UpdateTracker::takeUnconfirmedCatalogue(ControlSessionId Session, Instant Now) {
  const Catalogue &Entries = m_Context.state().catalogue();
  ListProgress &Progress = m_Sessions[Session].m_Catalogue;
  if (!Progress.isReplyDue(Entries.revision(), Now,
                           m_Context.settings().m_ListPushTimeout))
    return std::nullopt;
  Progress.sent(Entries.revision(), Now);
  return Entries.deltaSince(Progress.confirmed());
}

const std::shared_ptr<const SessionHomeLists> &UpdateTracker::sharedHomes() {
  const SessionHomeLists &Current = m_Context.state().homes();
  if (m_SharedHomes == nullptr ||
      m_SharedHomes->m_Revision != Current.m_Revision)
    m_SharedHomes = std::make_shared<const SessionHomeLists>(Current);
  return m_SharedHomes;
}

std::shared_ptr<const SessionHomeLists>
UpdateTracker::takeUnconfirmedHomes(ControlSessionId Session, Instant Now) {
  const SessionHomeLists &Homes = m_Context.state().homes();
  ListProgress &Progress = m_Sessions[Session].m_Homes;
  if (!Progress.isReplyDue(Homes.m_Revision, Now,
                           m_Context.settings().m_ListPushTimeout))
    return nullptr;
  Progress.sent(Homes.m_Revision, Now);
  return sharedHomes();
}

bool UpdateTracker::isCatalogueOverdue(ControlSessionId Session,
                                       Instant Now) const {
  const SessionProgress *Progress = find(Session);
  return Progress != nullptr && Progress->m_Catalogue.isOverdue(
                                    m_Context.state().catalogue().revision(),
                                    Now, m_Context.settings().m_Lease);
}

bool UpdateTracker::isStalled(ControlSessionId Session, Instant Now) const {
  const SessionProgress *Confirmations = find(Session);
  if (Confirmations == nullptr)
    return false;
  return std::any_of(Confirmations->m_Groups.begin(),
                     Confirmations->m_Groups.end(), [&](const auto &Entry) {
                       const Progress &Each = Entry.second;
                       return Each.isWaiting() &&
                              Now - Each.m_WaitingSince >
                                  m_Context.settings().m_Lease &&
                              m_Participants.contains(Session, Entry.first);
                     });
}

const UpdateTracker::SessionProgress *
UpdateTracker::find(ControlSessionId Session) const {
  const auto Found = m_Sessions.find(Session);
  return Found == m_Sessions.end() ? nullptr : &Found->second;
}

} // namespace ragwortmux
