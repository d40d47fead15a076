#ifndef BENCH_MEASURE_MEASURERUN_H
#define BENCH_MEASURE_MEASURERUN_H

#include "bench/Measure/Cluster.h"
#include "bench/Measure/FaultPlan.h"
#include "bench/Measure/LoadClient.h"
#include "bench/Measure/RunRecord.h"
#include "bench/Measure/RunSummary.h"

namespace ragwortmux {

/// One run: starts the cluster, puts the load on it, loses primaries and
/// checks the promises.
class MeasureRun final {
public:
  MeasureRun(const Workload &Sizes, const ClusterSettings &Places,
             const LoadSettings &Load, const FaultSettings &Faults);

  /// Runs everything; false with lastReason() if the cluster did not start or
  /// one of its processes ended.
  bool run();

  /// The outcome; valid as long as the run.
  const RunSummary &summary() const { return m_Summary; }
  const std::string &lastReason() const { return m_LastReason; }

private:
  void runLoad();
  void measureGaps(const FaultPlan &Plan);
  void readCounts();
  void readMetrics();

  Cluster m_Cluster;        ///< The processes.
  RunRecord m_Record;       ///< What the clients saw.
  RunSummary m_Summary;     ///< The outcome.
  std::string m_LastReason; ///< Why run() failed.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_MEASURERUN_H
