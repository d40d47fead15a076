#include "ragwortmux/Version/WorkspaceLimiter.h"

#include <algorithm>
#include <cmath>

namespace ragwortmux {

namespace {

/// Bounds of the validity. Below the minimum, permits would expire on their way
/// to a busy host; above the maximum, a reserve at a host is out of use for too
/// long.
constexpr Duration MinValidity = std::chrono::milliseconds(250);
constexpr Duration MaxValidity = std::chrono::milliseconds(1000);
/// Bounds of the pause that is asked of a host after a shortage. The minimum
/// keeps hosts from asking for each single operation under overload.
constexpr Duration MinRetry = std::chrono::milliseconds(50);
constexpr Duration MaxRetry = std::chrono::milliseconds(200);
/// Part of a bucket that is kept for operations that wait; spare permits come
/// out of the rest.
constexpr double SpareThreshold = 0.5;
/// Capacity in operations that is left unused for rounding errors.
constexpr double RoundingReserve = 0.001;
constexpr double OverageBase = 10'000;
/// Interval at which full buckets are removed.
constexpr Duration RemovalInterval = std::chrono::seconds(10);

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

WorkspaceLimiter::WorkspaceLimiter(const WorkspaceLimiterSettings &Settings)
    : m_Settings(Settings) {
  if (!isEnforced())
    return;
  // While validity and drift margin fit into the overage, the full rate can be
  // issued.
  const double Overage = m_Settings.m_Overage / OverageBase;
  const Duration Allowance =
      toDuration(toSeconds(m_Settings.m_Window) * Overage);
  const Duration Margin =
      m_Settings.m_Drift.of(m_Settings.m_Window + MaxValidity);
  m_Validity = std::clamp(Allowance - Margin, MinValidity, MaxValidity);
  m_ReservedSeconds = toSeconds(m_Settings.m_Window + m_Validity + Margin);
  m_RateShare = std::min(1.0, (1 + Overage) * toSeconds(m_Settings.m_Window) /
                                  m_ReservedSeconds);
}

void WorkspaceLimiter::becameLeader(Instant Now) {
  m_Buckets.clear();
  m_LeaderSince = Now;
  m_NextRemoval = Now + RemovalInterval;
}

double WorkspaceLimiter::bound(const WorkspaceLimit &Limit) const {
  return (1 + m_Settings.m_Overage / OverageBase) *
             (Limit.m_RatePerSecond * toSeconds(m_Settings.m_Window) +
              Limit.m_Burst) +
         m_Settings.m_Slack;
}

WorkspaceLimiter::Bucket &
WorkspaceLimiter::refill(Instant Now, const WorkspaceId &Workspace,
                         const WorkspaceLimit &Limit) {
  const double Rate = Limit.m_RatePerSecond * m_RateShare;
  const double Most =
      std::max(0.0, bound(Limit) - Rate * m_ReservedSeconds - RoundingReserve);
  const auto [Found, IsNew] = m_Buckets.try_emplace(Workspace);
  Bucket &Current = Found->second;
  // A workspace without a bucket has taken nothing since this process became
  // the leader, or has a full one.
  const Instant Since = IsNew ? m_LeaderSince : Current.m_At;
  Current.m_Tokens = std::min(
      Most, Current.m_Tokens + Rate * std::max(0.0, toSeconds(Now - Since)));
  Current.m_Rate = Rate;
  Current.m_Most = Most;
  Current.m_At = std::max(Since, Now);
  return Current;
}

PermitGrant WorkspaceLimiter::take(Instant Now, const PermitDemand &Demand,
                                   const WorkspaceLimit &Limit) {
  removeFullBuckets(Now);
  Bucket &Current = refill(Now, Demand.m_Workspace, Limit);
  PermitGrant Grant;
  Grant.m_Permits = static_cast<std::uint32_t>(
      std::min<double>(Demand.m_Needed, std::floor(Current.m_Tokens)));
  Current.m_Tokens -= Grant.m_Permits;
  const double Threshold = Current.m_Most * SpareThreshold;
  if (Current.m_Tokens > Threshold) {
    const auto Spare = static_cast<std::uint32_t>(std::min<double>(
        Demand.m_Spare, std::floor(Current.m_Tokens - Threshold)));
    Grant.m_Permits += Spare;
    Current.m_Tokens -= Spare;
  }
  Grant.m_IsPlenty = Current.m_Tokens >= Threshold + 1;
  if (Grant.m_Permits < Demand.m_Needed) {
    const double Missing = std::max(0.0, 1 - Current.m_Tokens);
    Grant.m_RetryAfter =
        Current.m_Rate > 0
            ? std::clamp(toDuration(std::min(Missing / Current.m_Rate, 1.0)),
                         MinRetry, MaxRetry)
            : MaxRetry;
  }
  return Grant;
}

void WorkspaceLimiter::removeFullBuckets(Instant Now) {
  if (Now < m_NextRemoval)
    return;
  m_NextRemoval = Now + RemovalInterval;
  // The bucket of a workspace that has been removed is needed until it would be
  // full, in case the workspace is added again.
  std::erase_if(m_Buckets, [&](const auto &Each) {
    const Bucket &Current = Each.second;
    return Current.m_Tokens + Current.m_Rate * toSeconds(Now - Current.m_At) >=
           Current.m_Most;
  });
}

} // namespace ragwortmux
