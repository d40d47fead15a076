#ifndef RAGWORTMUX_PROCESS_SUPPORT_PROCESSSETTINGS_H
#define RAGWORTMUX_PROCESS_SUPPORT_PROCESSSETTINGS_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Support/ControlPeer.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/Secret.h"
#include "ragwortmux/Process/Support/SettingFault.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ragwortmux {

/// Protocol of callers, backend servers and operators.
enum class CallerProtocol : std::uint8_t {
  PostgreSql, ///< The product's own interfaces.
  Platform,   ///< Interfaces of the adapter in the folder `platform`.
};

/// All settings of `ragwortmux serve`. docs/CONFIGURATION.md describes each;
/// the defaults are in SettingTable.cpp.
struct ProcessSettings final {
  HostId m_Host;                   ///< This host's id.
  std::string m_Cluster;           ///< Name of the cluster it belongs to.
  FailureDomainId m_FailureDomain; ///< The failure domain it is in.
  bool m_IsEntry = false;          ///< Accepts callers.
  bool m_IsControl = false;        ///< Is a voter of the replicated log.
  std::string m_Address;           ///< IP address to bind and to advertise.
  std::uint16_t m_CallerPort = 0;  ///< Port for callers; 0 = ephemeral.
  std::uint16_t m_HttpPort = 0;    ///< Port for HTTP; 0 = ephemeral.
  std::uint16_t m_RpcPort = 0;     ///< Port for RPC; 0 = ephemeral.
  std::string m_DataFolder;        ///< Folder of the control log; may be empty.
  std::vector<ControlPeer> m_ControlPeers; ///< All control hosts.
  std::uint32_t m_ControlVoters =
      0; ///< Voters among the control hosts that are found; 0: all of
         ///< m_ControlPeers and no others.
  std::uint32_t m_ControlToleratedLosses =
      0; ///< Control hosts that may lose their data folders at once.
  std::string m_ConfigFile; ///< File with further settings; may be empty.
  CallerProtocol m_Protocol = CallerProtocol::PostgreSql; ///< Protocol in use.
  std::optional<SocketAddress> m_PromotionAddress; ///< Promotion endpoint.
  std::uint16_t m_MetricsPort = 0;  ///< Port for metrics alone; 0: none.
  bool m_Bootstrap = false;         ///< Starts the log of a new cluster.
  Duration m_Lease{0};              ///< Length of a control session's lease.
  Duration m_RenewalInterval{0};    ///< Time between two renewals.
  std::uint32_t m_DriftPercent = 0; ///< Clock drift, percent of the lease.
  Duration m_Drift{0};              ///< Clock drift, fixed part.
  Duration m_Heartbeat{0};          ///< Time between two heartbeats.
  Duration m_ElectionTimeout{0};    ///< Leader silence before an election.
  Duration m_AnnouncementSilence{
      0}; ///< Silence of a backend server before it is considered lost.
  std::uint32_t m_ConnectionShareMax =
      0; ///< Maximum connections of one entry host to one backend server; 0: no
         ///< limit.
  std::uint32_t m_ConnectionReservePercent =
      0; ///< Percentage of a backend server's connections that is reserved for
         ///< entry hosts that start.
  Duration m_ServerSilence{
      0}; ///< Silence of a backend server before it gets no new requests.
  std::uint32_t m_ServingHostsPerDomain =
      0; ///< Entry hosts of a failure domain that serve a group.
  bool m_ShedLoad =
      false; ///< Refuses statements that cannot be served in time.
  Duration m_QuotaWindow{0}; ///< Window of the workspaces' rate limits; 0: not
                             ///< enforced.
  std::uint32_t m_QuotaOverage = 0;  ///< Excess over a limit, in 1/10000 of it.
  std::uint32_t m_QuotaSlack = 0;    ///< Further excess, in operations.
  bool m_CrossDomainRouting = false; ///< Reads leave the failure domain by
                                     ///< CrossDomainPolicy.
  std::uint32_t m_CrossDomainUsPerKb =
      0; ///< Waiting time that a kilobyte between failure domains is worth, us.
  std::uint32_t m_CrossDomainMaxSharePercent =
      0; ///< Maximum share of a group's reads that leave.
  std::uint32_t m_CrossDomainMaxKbPerSecond =
      0; ///< Maximum kilobytes per second of these; 0: no limit.
  std::uint32_t m_CrossDomainRoomPercent =
      0; ///< Maximum share of a foreign server's slots that this host takes.
  std::uint32_t m_MaxCallers = 0;            ///< Maximum caller connections.
  std::uint32_t m_MaxCallerMessageBytes = 0; ///< Largest caller message.
  std::uint32_t m_CallerBudgetBytes =
      0; ///< Bytes held for all callers before some are not read from.
  std::uint32_t m_CallerConnectionBudgetBytes =
      0; ///< Bytes held for one caller before it is not read from.
  std::uint32_t m_CallerWorkspaceBudgetBytes =
      0; ///< Bytes held for the callers of a workspace before they are not
         ///< read from.
  Duration m_CallerBudgetGrace{
      0}; ///< Time under pressure before the largest callers are closed.
  Duration m_CallerMessageTimeout{0}; ///< Time for a message's arrival.
  Duration m_CallerAnswerTimeout{0};  ///< Time for an answer to be read.
  std::uint32_t m_CallerPipelineMax =
      0; ///< Unanswered statements of a caller before it is not read from.
  std::uint32_t m_MaxStartingCallers =
      0; ///< Callers that have not completed their startup.
  std::uint32_t m_HttpMaxConnections = 0; ///< Maximum HTTP connections.
  std::uint32_t m_HttpBudgetBytes =
      0; ///< Bytes of bodies of HTTP requests in progress.
  Duration m_HttpRequestTimeout{
      0}; ///< Time for an HTTP request's arrival, and for its answer's reading.
  std::uint32_t m_RpcUnprovedMax =
      0; ///< Connections of peers that have not proved the cluster key.
  std::uint32_t m_RpcUnprovedBytes =
      0;                         ///< Bytes that such a connection may send.
  Duration m_RpcProofTimeout{0}; ///< Time for the proof of the cluster key.
  Duration m_DrainTimeout{0};    ///< Longest wait for requests in flight.
  LogLevel m_LogLevel = LogLevel::Info;    ///< Least level that is logged.
  LogFormat m_LogFormat = LogFormat::Text; ///< Form of the log lines.
  int m_LogDescriptor = 2;                 ///< File descriptor of the log.
  std::uint32_t m_LogLinesPerSecond = 0;   ///< Log lines; 0: no limit.
  std::string m_TimelineFolder;  ///< Folder of the time line; empty = off.
  Duration m_LedgerRetention{0}; ///< Retention of request outcomes.
  bool m_AllowSingleServerAck = false; ///< Allows groups of one server to ack.
  Duration m_RequestTimeout{0};  ///< Time-out of a call between processes.
  std::string m_BackendUser;     ///< User name at backend servers.
  std::string m_BackendDatabase; ///< Database name at backend servers.
  Duration m_ConnectTimeout{0};  ///< Time-out of opening a connection.
  Duration m_MaxLifetime{0};     ///< Time until shutdown; 0: never.
  Secret m_ClusterKey;           ///< Authenticates processes to each other.
  Secret m_OperatorToken;        ///< Authenticates operators.

  /// The bound on clock drift over one lease.
  Duration driftBound() const;
  /// Number of control hosts that are to vote: a majority must survive the
  /// tolerated losses. 0: all of m_ControlPeers and no others.
  std::size_t targetVoters() const;
  /// Most control hosts that vote; discovered hosts beyond targetVoters() get a
  /// vote up to this number.
  std::size_t maxVoters() const;
  /// This host's own entry in m_ControlPeers; null if it is not listed.
  const ControlPeer *ownPeer() const;
};

/// Reads one environment variable; none if it is not set.
using EnvironmentHook =
    std::function<std::optional<std::string>(const std::string &Name)>;

/// The hook that reads this process's environment.
EnvironmentHook processEnvironment();

/// Reads the operator token from the environment; empty, with a fault added, if
/// it is missing or not allowed.
Secret loadOperatorToken(const EnvironmentHook &Environment,
                         std::vector<SettingFault> &Faults);

/// Settings with every default of the table applied.
ProcessSettings defaultSettings();

/// Loads the settings from \p Arguments (those after `serve`), the environment
/// and the settings file, in this order of precedence, and checks all of them.
/// Returns none if any fault was added to \p Faults.
std::optional<ProcessSettings>
loadSettings(std::span<const std::string> Arguments,
             const EnvironmentHook &Environment,
             std::vector<SettingFault> &Faults);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_PROCESSSETTINGS_H
