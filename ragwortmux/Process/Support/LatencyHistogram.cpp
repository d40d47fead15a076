#include "ragwortmux/Process/Support/LatencyHistogram.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>

namespace ragwortmux {

namespace {

constexpr double LowestSeconds = 1e-4;
constexpr double HighestSeconds = 1e3;
constexpr int Decades = 7;
constexpr int BinsPerDecade = 20;
constexpr int BinsPerBucket = 10;
constexpr int BinCount = Decades * BinsPerDecade;

using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using Histogram =
    boost::histogram::histogram<std::tuple<LogAxis>,
                                boost::histogram::dense_storage<std::uint64_t>>;

double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::round<Duration>(std::chrono::duration<double>(Seconds));
}

} // namespace

struct LatencyHistogram::Bins final {
  Histogram m_Counts{
      std::make_tuple(LogAxis(BinCount, LowestSeconds, HighestSeconds))};
  std::uint64_t m_Count = 0; ///< Durations added.
  double m_SumSeconds = 0;   ///< Their sum.
  double m_MaxSeconds = 0;   ///< The longest one.

  /// Lower bound of the bin at \p Index; bin -1 begins at 0.
  double lowerBound(int Index) const {
    return Index < 0 ? 0.0 : m_Counts.axis().value(Index);
  }

  /// Upper bound of the bin at \p Index, which is not the last one.
  double upperBound(int Index) const {
    return m_Counts.axis().value(Index + 1);
  }
};

LatencyHistogram::LatencyHistogram() : m_Bins(std::make_unique<Bins>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&Other) noexcept = default;
LatencyHistogram &
LatencyHistogram::operator=(LatencyHistogram &&Other) noexcept = default;

void LatencyHistogram::add(Duration Time) {
  // The underflow bin counts all shorter durations, zero included.
  const double Seconds = std::max(toSeconds(Time), 0.0);
  m_Bins->m_Counts(std::max(Seconds, LowestSeconds / 2));
  ++m_Bins->m_Count;
  m_Bins->m_SumSeconds += Seconds;
  m_Bins->m_MaxSeconds = std::max(m_Bins->m_MaxSeconds, Seconds);
}

std::optional<Duration> LatencyHistogram::quantile(double Fraction) const {
  assert(Fraction >= 0.0 && Fraction <= 1.0);
  if (m_Bins->m_Count == 0)
    return std::nullopt;

  // Finds the bin that contains the requested rank and interpolates within it
  // by the share of its durations below the rank.
  const double Rank = Fraction * static_cast<double>(m_Bins->m_Count);
  double Before = 0;
  for (int Index = -1; Index <= BinCount; ++Index) {
    const auto InBin = static_cast<double>(m_Bins->m_Counts.at(Index));
    if (InBin == 0 || Before + InBin < Rank) {
      Before += InBin;
      continue;
    }
    const double Low = m_Bins->lowerBound(Index);
    // No duration is above the longest one, which also bounds the last bin.
    const double High = Index == BinCount ? m_Bins->m_MaxSeconds
                                          : std::min(m_Bins->upperBound(Index),
                                                     m_Bins->m_MaxSeconds);
    return fromSeconds(Low + (High - Low) * (Rank - Before) / InBin);
  }
  return fromSeconds(m_Bins->m_MaxSeconds);
}

std::uint64_t LatencyHistogram::count() const { return m_Bins->m_Count; }

double LatencyHistogram::sumSeconds() const { return m_Bins->m_SumSeconds; }

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const {
  std::vector<Bucket> Result;
  std::uint64_t Cumulative = 0;
  for (int Index = -1; Index < BinCount; ++Index) {
    Cumulative += m_Bins->m_Counts.at(Index);
    if ((Index + 1) % BinsPerBucket == 0)
      Result.push_back({m_Bins->upperBound(Index), Cumulative});
  }
  return Result;
}

} // namespace ragwortmux
