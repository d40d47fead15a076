#include "ragwortmux/Request/AgeTracker.h"

#include <algorithm>
#include <cstddef>

namespace ragwortmux {

namespace {

constexpr std::size_t MaxSamplesPerTerm = 2048;
constexpr std::size_t MaxTerms = 3;

} // namespace

void AgeTracker::addSample(const LogPoint &Point, Instant QuerySentAt) {
  std::vector<Sample> &Samples = m_Samples[Point.m_Term];
  if (!Samples.empty()) {
    Sample &Last = Samples.back();
    // An answer that arrived out of order adds no information.
    if (Point.m_Position < Last.m_Position || QuerySentAt < Last.m_QuerySentAt)
      return;
    if (Point.m_Position == Last.m_Position) {
      Last.m_QuerySentAt = QuerySentAt;
      return;
    }
  }
  Samples.push_back({Point.m_Position, QuerySentAt});
  if (Samples.size() > MaxSamplesPerTerm)
    thinOut(Samples);
  if (m_Samples.size() > MaxTerms)
    m_Samples.erase(m_Samples.begin());
}

std::optional<Duration> AgeTracker::age(const LogPoint &Applied,
                                        Instant Now) const {
  std::optional<Duration> SmallestAge;
  for (const auto &[SampleTerm, Samples] : m_Samples) {
    if (Applied.m_Term < SampleTerm)
      break;
    // Find the last sample that this position covers.
    const auto After =
        std::upper_bound(Samples.begin(), Samples.end(), Applied.m_Position,
                         [](LogPosition Position, const Sample &Candidate) {
                           return Position < Candidate.m_Position;
                         });
    if (After == Samples.begin())
      continue;
    const Duration Age = Now - std::prev(After)->m_QuerySentAt;
    SmallestAge = SmallestAge ? std::min(*SmallestAge, Age) : Age;
  }
  return SmallestAge;
}

void AgeTracker::thinOut(std::vector<Sample> &Samples) const {
  // Removes every second sample of the older half; this can only increase the
  // reported ages.
  const std::size_t Half = Samples.size() / 2;
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < Samples.size(); ++Index) {
    if (Index < Half && Index % 2 == 1)
      continue;
    Samples[Count++] = Samples[Index];
  }
  Samples.resize(Count);
}

} // namespace ragwortmux
