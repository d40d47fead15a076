#ifndef BENCH_MEASURE_RUNSUMMARY_H
#define BENCH_MEASURE_RUNSUMMARY_H

#include "bench/Measure/FaultPlan.h"
#include "bench/Measure/LoadClient.h"
#include "bench/Measure/ProcessUsage.h"
#include "bench/Measure/RunRecord.h"

#include <string>
#include <vector>

namespace ragwortmux {

/// Counters of one backend server.
struct ServerCounts final {
  std::string m_Name;                  ///< Server id.
  std::uint64_t m_ConnectionsOpen = 0; ///< At the end of the run.
  std::uint64_t m_ConnectionsPeak = 0; ///< Since its last start.
  std::uint64_t m_SlotsPeak = 0;       ///< Since its last start.
  std::uint64_t m_Refusals = 0;        ///< Refused statements and connections.
};

/// Loss of a primary with its failover gap.
struct GapRecord final {
  PrimaryLoss m_Loss; ///< Kind, group, server and time.
  Duration m_Gap{0};  ///< Longest time without an acknowledged booking.
};

/// Results of one run of one workload.
struct RunSummary final {
  Workload m_Workload;                 ///< Sizes and load.
  LoadSettings m_Load;                 ///< Settings of the load.
  FaultSettings m_Faults;              ///< Settings of the losses.
  double m_Seconds = 0;                ///< Duration of the load.
  double m_MachineLoad = 0;            ///< Load average at the end.
  std::vector<GapRecord> m_Gaps;       ///< Of all losses.
  std::vector<ProcessUsage> m_Usage;   ///< Of all processes, at the end.
  std::vector<ServerCounts> m_Servers; ///< Of all backend servers.
  std::uint64_t m_Bookings = 0;        ///< Bookings compared with the history.
  std::uint64_t m_Unknown = 0;         ///< Bookings with an unknown outcome.
  std::uint64_t m_UnknownRan = 0;      ///< Unknown bookings that had run.
  std::uint64_t m_ConnectionsOpened = 0; ///< From /metrics; 0 if missing.
  std::uint64_t m_Retries = 0;           ///< From /metrics; 0 if missing.
  const RunRecord *m_Record = nullptr;   ///< Observations of the clients.

  /// Gaps of one kind of loss, sorted.
  std::vector<Duration> gaps(LossKind Kind) const;
  /// Gaps of all losses in which no entry host was suspended, sorted.
  std::vector<Duration> primaryOnlyGaps() const;
  /// Share of the reads of the given classes that replicas answered.
  double replicaShare(std::initializer_list<LoadClass> Classes) const;
  /// Share that replicas answered of the reads that a replica may serve: all
  /// but the first reads of new sessions.
  double replicaShareOfAllowedReads() const;
  /// True if no violation of a promise was found.
  bool hasNoViolations() const;

  /// The summary as JSON.
  std::string toJson() const;
  /// The summary as a Markdown table.
  std::string toMarkdown() const;
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_RUNSUMMARY_H
