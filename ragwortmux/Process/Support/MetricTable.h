#ifndef RAGWORTMUX_PROCESS_SUPPORT_METRICTABLE_H
#define RAGWORTMUX_PROCESS_SUPPORT_METRICTABLE_H

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace ragwortmux {

/// All metrics of a process.
enum class Metric : std::uint8_t {
  Requests,
  RequestSeconds,
  QueueSeconds,
  RunSeconds,
  RequestsInFlight,
  RequestsQueued,
  Retries,
  Reads,
  ReadsByDomain,
  ForeignReadBytes,
  ForeignReadShare,
  RelayedStatements,
  ShedStatements,
  Callers,
  CallersTotal,
  BackendConnections,
  BackendConnectionsOpened,
  BackendConnectionsLost,
  ConnectSeconds,
  Announcements,
  LeaseRenewals,
  LeaseSeconds,
  GroupTerm,
  PrimaryChanges,
  FailoverGapSeconds,
  CatalogueChanges,
  CatalogueRevision,
  ControlLeader,
  ControlPushes,
  Elections,
  LogSyncSeconds,
  Draining,
  LogLinesDropped,
  LoopDelaySeconds,
  ControlWaitSeconds,
  ControlTaskSeconds,
  PeerCalls,
  PeerBytes,
  PeerFailures,
  WorkspacePermits,
  ClientLimitHits,
  WorkspaceCallers,
  RefusedKeys,
};

/// Prometheus type of a metric.
enum class MetricKind : std::uint8_t {
  Counter,   ///< Only increases.
  Gauge,     ///< Set to the current value.
  Histogram, ///< Distribution of durations.
};

/// Maximum number of labels of a metric.
inline constexpr std::size_t MaxMetricLabels = 2;

/// One metric.
struct MetricInfo final {
  Metric m_Metric;         ///< Id of the metric.
  std::string_view m_Name; ///< Name in the Prometheus text.
  MetricKind m_Kind;       ///< Prometheus type.
  std::string_view m_Unit; ///< Unit, for documentation.
  std::string_view m_Help; ///< One sentence for the HELP line.
  std::array<std::string_view, MaxMetricLabels> m_Labels; ///< Label names;
                                                          ///< empty = unused.

  /// Number of labels.
  std::size_t labelCount() const;
};

/// All metrics, in the order of Metric.
std::span<const MetricInfo> allMetrics();

/// The table row of \p Which.
const MetricInfo &metricInfo(Metric Which);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_METRICTABLE_H
