#ifndef RAGWORTMUX_PROCESS_SUPPORT_LATENCYHISTOGRAM_H
#define RAGWORTMUX_PROCESS_SUPPORT_LATENCYHISTOGRAM_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace ragwortmux {

/// A distribution of durations with logarithmic bins from 100 microseconds to
/// 1000 seconds, 20 to each power of ten.
class LatencyHistogram final {
public:
  /// One cumulative bucket of the Prometheus format.
  struct Bucket final {
    double m_UpperSeconds = 0;      ///< Upper bound.
    std::uint64_t m_Cumulative = 0; ///< Durations up to the bound.
  };

  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram &&Other) noexcept;
  LatencyHistogram &operator=(LatencyHistogram &&Other) noexcept;

  /// Adds one duration.
  void add(Duration Time);

  /// The duration that the share \p Fraction (0 to 1) of all durations does not
  /// exceed, interpolated within its bin; none if there are no durations.
  std::optional<Duration> quantile(double Fraction) const;

  /// Number of durations added.
  std::uint64_t count() const;
  /// Sum of all durations in seconds.
  double sumSeconds() const;
  /// Two buckets to each power of ten, without the one for infinity.
  std::vector<Bucket> buckets() const;

private:
  struct Bins;

  std::unique_ptr<Bins> m_Bins; ///< The bins; null only after a move.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_LATENCYHISTOGRAM_H
