#ifndef BENCH_MEASURE_OVERHEADRUN_H
#define BENCH_MEASURE_OVERHEADRUN_H

#include "bench/Measure/Cluster.h"

namespace ragwortmux {

/// Cost that a proxy adds to a read of one row.
struct OverheadSummary final {
  double m_DirectMedianUs = 0;  ///< Latency at the backend server, us.
  double m_ProxyMedianUs = 0;   ///< Latency through an entry host, us.
  double m_DirectPerSecond = 0; ///< Throughput at the backend server.
  double m_ProxyPerSecond = 0;  ///< Throughput through an entry host.

  std::string toMarkdown() const;
};

/// Compares reads through an entry host with reads at a backend server: the
/// median latency of a single caller, and the throughput of 16 concurrent
/// callers with one connection each.
class OverheadRun final {
public:
  explicit OverheadRun(const ClusterSettings &Settings);

  /// Runs the comparison; false with lastReason() if the cluster did not start.
  bool run();

  const OverheadSummary &summary() const { return m_Summary; }
  const std::string &lastReason() const { return m_Cluster.lastReason(); }

private:
  double measureMedianUs(std::uint16_t Port, const std::string &Database) const;
  double measureReadsPerSecond(std::uint16_t Port,
                               const std::string &Database) const;

  Cluster m_Cluster;         ///< A cluster with one group.
  OverheadSummary m_Summary; ///< The results.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_OVERHEADRUN_H
