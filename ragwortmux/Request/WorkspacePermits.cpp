#include "ragwortmux/Request/WorkspacePermits.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Length of a slot in which arrivals are counted; two slots make the half
/// second from which the demand is estimated.
constexpr Duration ArrivalSlot = milliseconds(250);
/// Arrivals for which permits are asked in reserve, and those that must be
/// covered without another request. The second exceeds the usual round trip.
constexpr Duration ReserveLength = milliseconds(100);
constexpr Duration LowLength = milliseconds(30);
/// Arrivals that are asked for under a shortage, in addition to the waiting
/// ones: about the time until the next request may be sent. More would leave
/// permits unused here while other hosts need them.
constexpr Duration ShortageLength = milliseconds(70);
/// Spare permits of a workspace that was served within SpareRetention.
constexpr std::uint32_t MinSpare = 1;
constexpr Duration SpareRetention = seconds(2);
/// State of a workspace without operations is kept for this time.
constexpr Duration StateRetention = seconds(5);
/// Once requests have stayed unanswered for this time, operations are refused
/// without waiting.
constexpr Duration MaxControlWait = milliseconds(500);
/// Pause after a failed request.
constexpr Duration FailurePause = milliseconds(30);
/// Limit of operations of one workspace that wait for permits, so that they do
/// not hide other workspaces' statements from the dispatch.
constexpr std::uint32_t MaxWaiting = 64;
/// Limit of the workspaces in one request.
constexpr std::size_t MaxDemands = 256;
/// A workspace without refusals for this time is no longer reported as limited.
constexpr Duration LimitedRetention = seconds(5);
/// How often control is asked whether limits are enforced by now.
constexpr Duration EnforcementProbeInterval = seconds(10);

} // namespace

WorkspacePermits::WorkspacePermits(const DriftBound &Drift, Hooks Callbacks)
    : m_Drift(Drift), m_Hooks(std::move(Callbacks)) {}

bool WorkspacePermits::isLimited(Instant Now, const WorkspaceId &Workspace) {
  if (Workspace == WorkspaceId() || m_Hooks.m_Rate(Workspace) == 0)
    return false;
  if (m_IsEnforced)
    return true;
  if (Now >= m_NextEnforcementProbe) {
    m_NextEnforcementProbe = Now + EnforcementProbeInterval;
    m_Workspaces[Workspace].m_LastArrival = Now;
    wantRequest(Now);
  }
  return false;
}

std::uint32_t WorkspacePermits::usablePermits(Instant Now,
                                              const State &Current) const {
  std::uint32_t Usable = Current.m_Held;
  for (const Batch &Each : Current.m_Batches) {
    if (Now < Each.m_Expiry)
      break;
    Usable -= Each.m_Permits;
  }
  return Usable;
}

void WorkspacePermits::expirePermits(Instant Now, State &Current) {
  while (!Current.m_Batches.empty() &&
         (Now >= Current.m_Batches.front().m_Expiry ||
          Current.m_Batches.front().m_Permits == 0)) {
    Current.m_Held -= Current.m_Batches.front().m_Permits;
    m_ExpiredCount += Current.m_Batches.front().m_Permits;
    Current.m_Batches.pop_front();
  }
}

std::uint32_t WorkspacePermits::expectedArrivals(Instant Now,
                                                 const State &Current,
                                                 Duration Length) const {
  const Duration Elapsed = Now - Current.m_SlotStart;
  if (Elapsed >= 2 * ArrivalSlot)
    return 0;
  const std::uint64_t Counted = Elapsed < ArrivalSlot
                                    ? Current.m_Arrivals + Current.m_Previous
                                    : Current.m_Arrivals;
  const Duration Observed =
      Elapsed < ArrivalSlot ? Elapsed + ArrivalSlot : Elapsed;
  return static_cast<std::uint32_t>(
      Counted * static_cast<std::uint64_t>(Length.count()) /
      static_cast<std::uint64_t>(Observed.count()));
}

bool WorkspacePermits::isControlSilent(Instant Now) const {
  return m_UnansweredSince && Now >= *m_UnansweredSince + MaxControlWait;
}

PermitDecision WorkspacePermits::arrived(Instant Now,
                                         const WorkspaceId &Workspace) {
  State &Current = m_Workspaces[Workspace];
  Current.m_LastArrival = Now;
  const Duration Elapsed = Now - Current.m_SlotStart;
  if (Elapsed >= ArrivalSlot) {
    Current.m_Previous = Elapsed < 2 * ArrivalSlot ? Current.m_Arrivals : 0;
    Current.m_Arrivals = 0;
    Current.m_SlotStart = Now;
  }
  ++Current.m_Arrivals;
  const PermitDecision Decision = check(Now, Workspace);
  if (Decision == PermitDecision::Wait && Current.m_Waiting >= MaxWaiting)
    return PermitDecision::Refused;
  if (Decision == PermitDecision::Refused && isControlSilent(Now))
    wantRequest(Now);
  return Decision;
}

PermitDecision WorkspacePermits::check(Instant Now,
                                       const WorkspaceId &Workspace) const {
  if (!m_IsEnforced)
    return PermitDecision::Granted;
  const auto Found = m_Workspaces.find(Workspace);
  if (Found == m_Workspaces.end())
    return PermitDecision::Wait;
  const State &Current = Found->second;
  if (usablePermits(Now, Current) > 0)
    return PermitDecision::Granted;
  if (Now < Current.m_RefusedUntil || isControlSilent(Now))
    return PermitDecision::Refused;
  return PermitDecision::Wait;
}

bool WorkspacePermits::isRunningLow(Instant Now, const State &Current) const {
  return Now >= Current.m_RefusedUntil &&
         usablePermits(Now, Current) <
             expectedArrivals(Now, Current, LowLength);
}

void WorkspacePermits::take(Instant Now, const WorkspaceId &Workspace) {
  if (!m_IsEnforced)
    return;
  ++m_GrantedCount;
  State &Current = m_Workspaces[Workspace];
  expirePermits(Now, Current);
  assert(Current.m_Held > 0);
  --Current.m_Held;
  --Current.m_Batches.front().m_Permits;
  expirePermits(Now, Current);
  if (isRunningLow(Now, Current))
    wantRequest(Now);
}

void WorkspacePermits::beginWait(Instant Now, const WorkspaceId &Workspace) {
  ++m_Workspaces[Workspace].m_Waiting;
  wantRequest(Now);
}

void WorkspacePermits::endWait(const WorkspaceId &Workspace) {
  const auto Found = m_Workspaces.find(Workspace);
  assert(Found != m_Workspaces.end() && Found->second.m_Waiting > 0);
  --Found->second.m_Waiting;
}

void WorkspacePermits::refused(Instant Now, const WorkspaceId &Workspace) {
  ++m_RefusedCount;
  State &Current = m_Workspaces[Workspace];
  Current.m_LastRefusal = Now;
  if (!Current.m_IsLimited) {
    Current.m_IsLimited = true;
    Current.m_LimitedSince = Now;
    Current.m_Refusals = 0;
    m_Changes.push_back({Workspace, true, 1, Duration(0)});
  }
  ++Current.m_Refusals;
}

void WorkspacePermits::wantRequest(Instant Now) {
  m_IsWanted = true;
  if (!m_InFlight && Now >= m_NotBefore)
    m_Hooks.m_RequestWanted();
}

PermitDemand WorkspacePermits::demandOf(Instant Now,
                                        const WorkspaceId &Workspace,
                                        const State &Current) const {
  PermitDemand Demand;
  Demand.m_Workspace = Workspace;
  const std::uint32_t Held = usablePermits(Now, Current);
  const bool WasShort =
      Current.m_IsLimited && Now < Current.m_LastRefusal + ArrivalSlot;
  const std::uint32_t Imminent =
      expectedArrivals(Now, Current, WasShort ? ShortageLength : LowLength);
  Demand.m_Needed = Current.m_Waiting + Imminent;
  Demand.m_Needed -= std::min(Demand.m_Needed, Held);
  if (Now - Current.m_LastArrival >= SpareRetention)
    return Demand;
  const std::uint32_t Reserve =
      Current.m_Waiting +
      std::max(MinSpare, expectedArrivals(Now, Current, ReserveLength));
  const std::uint32_t Covered = Held + Demand.m_Needed;
  Demand.m_Spare = Reserve - std::min(Reserve, Covered);
  return Demand;
}

std::optional<PermitRequest> WorkspacePermits::nextRequest(Instant Now) {
  if (!m_IsWanted || m_InFlight || Now < m_NotBefore)
    return std::nullopt;
  m_IsWanted = false;
  PermitRequest Request;
  m_Asked.clear();
  for (const auto &[Workspace, Current] : m_Workspaces) {
    if (Now < Current.m_RefusedUntil)
      continue;
    PermitDemand Demand = demandOf(Now, Workspace, Current);
    // Workspaces that only lack a spare permit join requests that are due.
    const bool IsProbe = !m_IsEnforced || isControlSilent(Now);
    if (Demand.m_Needed == 0 && Demand.m_Spare == 0 && !IsProbe)
      continue;
    if (Request.m_Demands.size() >= MaxDemands) {
      m_IsWanted = true;
      break;
    }
    m_Asked.push_back(Workspace);
    Request.m_Demands.push_back(std::move(Demand));
  }
  if (Request.m_Demands.empty())
    return std::nullopt;
  Request.m_Number = ++m_LastNumber;
  m_InFlight = Request.m_Number;
  m_SentAt = Now;
  if (!m_UnansweredSince)
    m_UnansweredSince = Now;
  return Request;
}

bool WorkspacePermits::answered(Instant Now, std::uint64_t Number,
                                const PermitGrants &Grants) {
  if (m_InFlight != Number)
    return false;
  m_InFlight.reset();
  m_UnansweredSince.reset();
  m_IsEnforced = Grants.m_Validity > Duration(0);
  if (!m_IsEnforced) {
    m_NextEnforcementProbe = Now + EnforcementProbeInterval;
    m_IsWanted = false;
    std::erase_if(m_Workspaces,
                  [](const auto &Each) { return Each.second.m_Waiting == 0; });
    return true;
  }
  m_Validity = Grants.m_Validity;
  const Instant Expiry = m_SentAt + m_Validity - m_Drift.of(m_Validity);
  const std::size_t Count = std::min(m_Asked.size(), Grants.m_Grants.size());
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const PermitGrant &Grant = Grants.m_Grants[Index];
    State &Current = m_Workspaces[m_Asked[Index]];
    Current.m_IsPlenty = Grant.m_IsPlenty;
    if (Grant.m_RetryAfter > Duration(0))
      Current.m_RefusedUntil = Now + Grant.m_RetryAfter;
    if (Grant.m_Permits == 0)
      continue;
    Current.m_Batches.push_back({Expiry, Grant.m_Permits});
    Current.m_Held += Grant.m_Permits;
    expirePermits(Now, Current);
  }
  // Operations may have begun to wait while the request was in flight.
  m_IsWanted = false;
  const bool IsShort = std::any_of(
      m_Workspaces.begin(), m_Workspaces.end(), [&](const auto &Each) {
        return Now >= Each.second.m_RefusedUntil &&
               usablePermits(Now, Each.second) < Each.second.m_Waiting;
      });
  if (IsShort)
    wantRequest(Now);
  return true;
}

void WorkspacePermits::failed(Instant Now, std::uint64_t Number) {
  if (m_InFlight != Number)
    return;
  m_InFlight.reset();
  m_NotBefore = Now + FailurePause;
  m_IsWanted = isActive();
  if (!isActive())
    m_UnansweredSince.reset();
}

void WorkspacePermits::tick(Instant Now) {
  bool IsWanted = false;
  for (auto Each = m_Workspaces.begin(); Each != m_Workspaces.end();) {
    State &Current = Each->second;
    expirePermits(Now, Current);
    if (Current.m_IsLimited &&
        Now >= Current.m_LastRefusal + LimitedRetention) {
      Current.m_IsLimited = false;
      m_Changes.push_back({Each->first, false, Current.m_Refusals,
                           Current.m_LastRefusal - Current.m_LimitedSince});
    }
    const bool LacksPermits =
        Current.m_Waiting > Current.m_Held && Now >= Current.m_RefusedUntil;
    const bool LacksSpare = m_IsEnforced && Current.m_IsPlenty &&
                            Current.m_Held == 0 &&
                            Now < Current.m_LastArrival + SpareRetention;
    IsWanted = IsWanted || LacksPermits || LacksSpare;
    const bool IsIdle = Current.m_Waiting == 0 && !Current.m_IsLimited &&
                        Now >= Current.m_LastArrival + StateRetention;
    Each = IsIdle ? m_Workspaces.erase(Each) : std::next(Each);
  }
  // Nobody calls tick() while nothing is active, so an outage that nobody
  // waited for must not be remembered.
  if (m_Workspaces.empty()) {
    m_IsWanted = false;
    m_UnansweredSince.reset();
    return;
  }
  if (m_InFlight || Now < m_NotBefore)
    return;
  if (IsWanted || m_IsWanted) {
    m_IsWanted = true;
    m_Hooks.m_RequestWanted();
  }
}

std::vector<WorkspaceLimitChange> WorkspacePermits::takeLimitChanges() {
  return std::exchange(m_Changes, {});
}

} // namespace ragwortmux
