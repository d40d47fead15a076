#include "ragwortmux/Version/SessionLeases.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <algorithm>

namespace ragwortmux {

namespace {

/// Maximum number of renewals of unknown sessions that wait for their refusal;
/// further ones are dropped, which only delays the refusal.
constexpr std::size_t MaxUnknownSessions = 1024;

} // namespace

void SessionLeases::reset() {
  m_Leases.clear();
  m_UnknownSessions.clear();
  // Tokens are not reused, so that a late confirmation from an earlier
  // leadership of this process has no effect.
  m_Confirmed = m_Token;
}

void SessionLeases::becameLeader(Instant Now) {
  m_Context.state().sessions().forEachSession(
      [&](const SessionRecord &Session) {
        sessionOpened(Session.m_Session, Now);
      });
}

void SessionLeases::sessionOpened(ControlSessionId Session, Instant Now) {
  SessionLease &Lease = m_Leases[Session];
  Lease.m_End = std::max(Lease.m_End, leaseExpiryFrom(Now));
}

void SessionLeases::renewalReceived(const LeaseRenewal &Renewal, Instant Now) {
  const bool IsRoundRunning = m_Confirmed < m_Token;
  const WaitingRenewal Waiting{Renewal.m_Sequence, m_Token + 1, Now};
  const auto Found = m_Leases.find(Renewal.m_Session);
  if (Found != m_Leases.end())
    Found->second.m_Waiting = Waiting;
  else if (m_UnknownSessions.size() < MaxUnknownSessions)
    m_UnknownSessions[Renewal.m_Session] = Waiting;
  // A running round began too early for this renewal. The next one starts when
  // it has ended and covers all renewals that have arrived by then.
  if (!IsRoundRunning)
    startRound(Now);
}

void SessionLeases::startRound(Instant Now) {
  m_RoundStartedAt = Now;
  m_Context.addAction(ConfirmLeadership{++m_Token});
}

void SessionLeases::leadershipConfirmed(std::uint64_t Token, Instant Now) {
  if (Token > m_Token || Token <= m_Confirmed)
    return;
  m_Confirmed = Token;
  bool HasWaitingRenewals = false;
  for (auto &[Session, Lease] : m_Leases) {
    if (!Lease.m_Waiting)
      continue;
    if (Lease.m_Waiting->m_Token > Token) {
      HasWaitingRenewals = true;
      continue;
    }
    const WaitingRenewal Renewal = *Lease.m_Waiting;
    Lease.m_Waiting.reset();
    answerRenewal(Session, Renewal, Now);
  }
  for (const auto &[Session, Renewal] : m_UnknownSessions) {
    HasWaitingRenewals = HasWaitingRenewals || Renewal.m_Token > Token;
    if (Renewal.m_Token <= Token)
      m_Context.addAction(RefuseRenewal{Session, Renewal.m_Sequence});
  }
  std::erase_if(m_UnknownSessions, [Token](const auto &Entry) {
    return Entry.second.m_Token <= Token;
  });
  if (HasWaitingRenewals && m_Confirmed == m_Token)
    startRound(Now);
}

void SessionLeases::answerRenewal(ControlSessionId Session,
                                  const WaitingRenewal &Renewal, Instant Now) {
  SessionLease &Lease = m_Leases[Session];
  // A session that confirms no records must not block changes of primary
  // indefinitely.
  if (Lease.m_IsEnding || m_Updates.isStalled(Session, Now))
    return;
  Lease.m_End = std::max(Lease.m_End, leaseExpiryFrom(Renewal.m_ReceivedAt));
  GrantRenewal Grant;
  Grant.m_Session = Session;
  Grant.m_Sequence = Renewal.m_Sequence;
  Grant.m_Catalogue = m_Updates.takeUnconfirmedCatalogue(Session, Now);
  // A lease vouches for the catalogue too. The session stays open, so that the
  // host is served again as soon as it has the catalogue.
  const bool IsOutdated =
      !Grant.m_Catalogue && m_Updates.isCatalogueOverdue(Session, Now);
  Grant.m_Length = IsOutdated ? Duration(0) : m_Context.settings().m_Lease;
  Grant.m_Groups = m_Updates.takeUnconfirmedViews(Session, Now);
  Grant.m_Homes = m_Updates.takeUnconfirmedHomes(Session, Now);
  m_Updates.renewalAnswered(Session);
  m_Context.addAction(std::move(Grant));
}

void SessionLeases::tick(Instant Now) {
  for (auto &[Session, Lease] : m_Leases) {
    if (Now < Lease.m_End)
      continue;
    const bool IsProposed =
        Lease.m_IsEnding &&
        Now - Lease.m_EndProposedAt < m_Context.settings().m_ProposeRetry;
    if (IsProposed)
      continue;
    Lease.m_IsEnding = true;
    Lease.m_EndProposedAt = Now;
    m_Context.propose(EndSession{Session}, Now);
  }
  const bool IsRoundRunning = m_Confirmed < m_Token;
  if (IsRoundRunning &&
      Now - m_RoundStartedAt >= m_Context.settings().m_ConfirmRetry)
    startRound(Now);
}

Instant SessionLeases::leaseExpiry(ControlSessionId Session) const {
  const auto Found = m_Leases.find(Session);
  return Found == m_Leases.end() ? Instant() : Found->second.m_End;
}

Instant SessionLeases::leaseExpiryFrom(Instant Start) const {
  const Duration Length = m_Context.settings().m_Lease;
  return Start + Length + m_Context.settings().m_Drift.of(Length);
}

} // namespace ragwortmux
