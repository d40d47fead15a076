#include "ragwortmux/Request/QueueEstimate.h"

namespace ragwortmux {

namespace {

constexpr int PercentBase = 100;

} // namespace

void QueueEstimate::occupied(Instant Now, ConnectionId Connection,
                             QueueLane Lane) {
  m_Occupied[Connection] = {Now, Lane};
}

void QueueEstimate::served(Instant Now, ConnectionId Connection) {
  const auto Found = m_Occupied.find(Connection);
  if (Found == m_Occupied.end())
    return;
  Lane &Of = lane(Found->second.m_Lane);
  // After a pause in which nothing was served, because the primary changed or a
  // server stood still, the rate is measured anew.
  if (Of.m_WindowStart && Now - Of.m_LastSample > m_Settings.m_Window / 2) {
    Of.m_WindowStart = Now;
    Of.m_Served = 0;
  }
  if (Of.m_Samples >= MaxSamples) {
    Of.m_Total /= 2;
    Of.m_Samples /= 2;
  }
  Of.m_Total += Now - Found->second.m_Since;
  ++Of.m_Samples;
  Of.m_LastSample = Now;
  ++Of.m_Served;
  m_Occupied.erase(Found);
}

void QueueEstimate::setBacklog(Instant Now, QueueLane Which, bool IsWaiting) {
  Lane &Of = lane(Which);
  if (!IsWaiting) {
    // A lane that empties its queue gets on as fast as statements arrive; its
    // rate says nothing about the servers any more.
    Of.m_WindowStart.reset();
    Of.m_Interval.reset();
    return;
  }
  if (!Of.m_WindowStart) {
    Of.m_WindowStart = Now;
    Of.m_Served = 0;
    return;
  }
  const Duration Length = Now - *Of.m_WindowStart;
  if (Length < m_Settings.m_Window || Of.m_Served < m_Settings.m_MinSamples)
    return;
  Of.m_Interval = Length / Of.m_Served;
  Of.m_MeasuredAt = Now;
  Of.m_WindowStart = Now;
  Of.m_Served = 0;
}

std::optional<Duration> QueueEstimate::occupation(Instant Now,
                                                  const Lane &Of) const {
  if (Of.m_Samples < m_Settings.m_MinSamples ||
      Now - Of.m_LastSample > m_Settings.m_MaxAge)
    return std::nullopt;
  return Of.m_Total / Of.m_Samples;
}

std::optional<Duration> QueueEstimate::interval(Instant Now, const Lane &Of,
                                                std::uint32_t Slots) const {
  if (Of.m_Interval && Now - Of.m_MeasuredAt <= m_Settings.m_MaxAge)
    return Of.m_Interval;
  const auto Occupation = occupation(Now, Of);
  return Occupation ? std::optional(*Occupation / Slots) : std::nullopt;
}

bool QueueEstimate::canServe(Instant Now, const QueuePlace &Place) const {
  const std::size_t ShortQueue =
      std::size_t{Place.m_Slots} * m_Settings.m_ShortQueue;
  if (Place.m_Slots == 0 || Place.m_Ahead <= ShortQueue)
    return true;
  const Lane &Of = m_Lanes.at(static_cast<std::size_t>(Place.m_Lane));
  const auto Interval = interval(Now, Of, Place.m_Slots);
  const auto Occupation = occupation(Now, Of);
  if (!Interval || !Occupation)
    return true;
  const Duration Wait = *Interval * static_cast<std::int64_t>(Place.m_Ahead) *
                        PercentBase /
                        (PercentBase + m_Settings.m_MarginPercent);
  // Statements differ in their times and this one may be short.
  return Now + Wait + *Occupation / 4 <= Place.m_Deadline;
}

} // namespace ragwortmux
