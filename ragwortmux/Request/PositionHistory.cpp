#include "ragwortmux/Request/PositionHistory.h"

#include <algorithm>

namespace ragwortmux {

namespace {

/// A sample closer than this to the previous one is dropped.
constexpr Duration MinDistance = std::chrono::milliseconds(20);
/// Limit of stored samples; at MinDistance they cover 10 s.
constexpr std::size_t MaxSamples = 512;

} // namespace

void PositionHistory::add(Instant QuerySentAt, const LogPoint &Point) {
  if (!m_Samples.empty()) {
    const Sample &Last = m_Samples.back();
    // A later sample covers more, so an answer that arrived out of order adds
    // no information.
    if (QuerySentAt - Last.m_QuerySentAt < MinDistance ||
        isBefore(Point, Last.m_Point))
      return;
  }
  m_Samples.push_back({QuerySentAt, Point});
  if (m_Samples.size() > MaxSamples)
    m_Samples.pop_front();
}

const PositionHistory::Sample *
PositionHistory::oldestSince(Instant Since) const {
  const auto Found = std::lower_bound(
      m_Samples.begin(), m_Samples.end(), Since,
      [](const Sample &Each, Instant At) { return Each.m_QuerySentAt < At; });
  return Found == m_Samples.end() ? nullptr : &*Found;
}

const PositionHistory::Sample *
PositionHistory::newestCovered(const LogPoint &Applied) const {
  const auto FirstNotCovered =
      std::upper_bound(m_Samples.begin(), m_Samples.end(), Applied,
                       [](const LogPoint &Point, const Sample &Each) {
                         return isBefore(Point, Each.m_Point);
                       });
  return FirstNotCovered == m_Samples.begin() ? nullptr
                                              : &*std::prev(FirstNotCovered);
}

const PositionHistory::Sample *PositionHistory::oldest() const {
  return m_Samples.empty() ? nullptr : &m_Samples.front();
}

const PositionHistory::Sample *PositionHistory::newest() const {
  return m_Samples.empty() ? nullptr : &m_Samples.back();
}

} // namespace ragwortmux
