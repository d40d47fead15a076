#ifndef RAGWORTMUX_PROCESS_SUPPORT_METRICS_H
#define RAGWORTMUX_PROCESS_SUPPORT_METRICS_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Support/LatencyHistogram.h"
#include "ragwortmux/Process/Support/MetricTable.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace ragwortmux {

/// Media type of renderPrometheus().
inline constexpr const char *PrometheusContentType =
    "text/plain; version=0.0.4";

/// The values of a metric's labels, in the order of its table row.
using MetricLabels = std::vector<std::string>;

/// The metrics of one process. Thread-safe.
class Metrics final {
public:
  /// Maximum number of label sets of one metric; further sets are counted in
  /// one set whose values are all `other`.
  static constexpr std::size_t MaxLabelSets = 200;

  /// Adds \p Count to a counter.
  void add(Metric Which, const MetricLabels &Labels = {},
           std::uint64_t Count = 1);
  /// Sets a gauge.
  void set(Metric Which, const MetricLabels &Labels, double Value);
  /// Sets a gauge to \p Values by label set and removes its other label sets.
  void setAll(Metric Which, std::map<MetricLabels, double> Values);
  /// Adds a duration to a histogram.
  void observe(Metric Which, const MetricLabels &Labels, Duration Time);

  /// The value of a counter; 0 if it was never added to.
  std::uint64_t counter(Metric Which, const MetricLabels &Labels = {}) const;
  /// LatencyHistogram::quantile of a histogram; none if it is empty.
  std::optional<Duration> quantile(Metric Which, const MetricLabels &Labels,
                                   double Fraction) const;

  /// All metrics that have a value, as Prometheus text.
  std::string renderPrometheus() const;

private:
  template <typename Value>
  using Series = std::map<Metric, std::map<MetricLabels, Value>>;

  template <typename Value>
  static Value &findOrAdd(Series<Value> &All, Metric Which,
                          const MetricLabels &Labels);

  mutable std::mutex m_Mutex;            ///< Guards all members below.
  Series<std::uint64_t> m_Counters;      ///< Counters.
  Series<double> m_Gauges;               ///< Gauges.
  Series<LatencyHistogram> m_Histograms; ///< Histograms.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_METRICS_H
