#ifndef BENCH_MEASURE_OVERHEADRUN_H
#define BENCH_MEASURE_OVERHEADRUN_H

#include "bench/Measure/Cluster.h"

namespace ragwortmux {

/// What a proxy adds to a read of one row.
struct OverheadSummary final {
  double m_DirectMedianUs = 0;  ///< At the backend server.
  double m_ProxyMedianUs = 0;   ///< Through an entry host.
  double m_DirectPerSecond = 0; ///< All connections together.
  double m_ProxyPerSecond = 0;  ///< All connections together.

  std::string toMarkdown() const;
};

/// Compares reads through an entry host with reads at a backend server: the
/// median of one caller after the other, and the throughput of several callers
/// at a time, each with one connection.
class OverheadRun final {
public:
  explicit OverheadRun(const ClusterSettings &Places);

  /// Runs it; false with lastReason() if the cluster did not start.
  bool run();

  const OverheadSummary &summary() const { return m_Summary; }
  const std::string &lastReason() const { return m_Cluster.lastReason(); }

private:
  double medianUs(std::uint16_t Port, const std::string &Database) const;
  double perSecond(std::uint16_t Port, const std::string &Database) const;

  Cluster m_Cluster;         ///< One group.
  OverheadSummary m_Summary; ///< The outcome.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_OVERHEADRUN_H
