#ifndef BENCH_MEASURE_MEASURERUN_H
#define BENCH_MEASURE_MEASURERUN_H

#include "bench/Measure/Cluster.h"
#include "bench/Measure/FaultPlan.h"
#include "bench/Measure/LoadClient.h"
#include "bench/Measure/RunRecord.h"
#include "bench/Measure/RunSummary.h"

namespace ragwortmux {

/// One measurement: starts the cluster, runs the load, injects losses of
/// primaries and checks the promises.
class MeasureRun final {
public:
  MeasureRun(const Workload &UserWorkload, const ClusterSettings &Settings,
             const LoadSettings &Load, const FaultSettings &Faults);

  /// Runs the measurement; false with lastReason() if the cluster did not start
  /// or one of its processes ended.
  bool run();

  /// The results; valid for the lifetime of this object.
  const RunSummary &summary() const { return m_Summary; }
  const std::string &lastReason() const { return m_LastReason; }

private:
  void runLoad();
  void measureGaps(const FaultPlan &Plan);
  void readCounts();
  void readMetrics();

  Cluster m_Cluster;        ///< The cluster under load.
  RunRecord m_Record;       ///< Observations of the clients.
  RunSummary m_Summary;     ///< The results.
  std::string m_LastReason; ///< Cause of the failure of run().
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_MEASURERUN_H
