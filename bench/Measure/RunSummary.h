#ifndef BENCH_MEASURE_RUNSUMMARY_H
#define BENCH_MEASURE_RUNSUMMARY_H

#include "bench/Measure/FaultPlan.h"
#include "bench/Measure/LoadClient.h"
#include "bench/Measure/ProcessUsage.h"
#include "bench/Measure/RunRecord.h"

#include <string>
#include <vector>

namespace ragwortmux {

/// What one backend server counted.
struct ServerCounts final {
  std::string m_Name;                  ///< Server id.
  std::uint64_t m_ConnectionsOpen = 0; ///< At the end.
  std::uint64_t m_ConnectionsPeak = 0; ///< Since its last start.
  std::uint64_t m_SlotsPeak = 0;       ///< Since its last start.
  std::uint64_t m_Refusals = 0;        ///< Statements and connections.
};

/// A loss of a primary and its failover gap.
struct GapRecord final {
  PrimaryLoss m_Loss; ///< The loss.
  Duration m_Gap{0};  ///< Time without an acknowledged booking.
};

/// The outcome of one run of one workload.
struct RunSummary final {
  Workload m_Workload;                   ///< What was run.
  LoadSettings m_Load;                   ///< How.
  FaultSettings m_Faults;                ///< With which losses.
  double m_Seconds = 0;                  ///< Length of the load.
  double m_MachineLoad = 0;              ///< Load average at the end.
  std::vector<GapRecord> m_Gaps;         ///< Of all losses.
  std::vector<ProcessUsage> m_Usage;     ///< Of all processes, at the end.
  std::vector<ServerCounts> m_Servers;   ///< Of all backend servers.
  std::uint64_t m_Bookings = 0;          ///< Compared with the history.
  std::uint64_t m_Unknown = 0;           ///< Outcome stayed unknown.
  std::uint64_t m_UnknownRan = 0;        ///< Of those, had run.
  std::uint64_t m_ConnectionsOpened = 0; ///< From /metrics; 0 if not given.
  std::uint64_t m_Retries = 0;           ///< From /metrics; 0 if not given.
  const RunRecord *m_Record = nullptr;   ///< What the clients saw.

  /// The gaps of one kind in order.
  std::vector<Duration> gaps(LossKind Kind) const;
  /// The gaps of all losses of a primary alone, in order.
  std::vector<Duration> plainGaps() const;
  /// Replica reads as a share of the reads of the given classes.
  double replicaShare(std::initializer_list<LoadClass> Classes) const;
  /// Replica reads as a share of the reads that a replica may serve: all but
  /// the first reads of new sessions.
  double replicaShareOfAllowed() const;
  /// True if no promise was found broken.
  bool promisesKept() const;

  /// The summary as JSON.
  std::string toJson() const;
  /// The summary as a Markdown table.
  std::string toMarkdown() const;
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_RUNSUMMARY_H
