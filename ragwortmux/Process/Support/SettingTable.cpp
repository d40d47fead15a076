#include "ragwortmux/Process/Support/SettingTable.h"

#include "ragwortmux/Process/Support/Numbers.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace ragwortmux {

namespace {

constexpr std::size_t MaxTextLength = 255;
constexpr std::uint64_t MaxPort = 65535;

/// Makes a setting for a text of 1 to 255 printable characters, or for an empty
/// one if \p MayBeEmpty.
SettingInfo textSetting(const char *Name, const char *Default,
                        std::string ProcessSettings::*Member, bool MayBeEmpty,
                        const char *Meaning) {
  auto Store = [=](ProcessSettings &Settings, std::string_view Text) {
    const bool IsPrintable = std::ranges::all_of(Text, [](char Character) {
      return static_cast<unsigned char>(Character) >= ' ';
    });
    if (!IsPrintable || Text.size() > MaxTextLength ||
        (Text.empty() && !MayBeEmpty))
      return false;
    Settings.*Member = std::string(Text);
    return true;
  };
  return {Name,
          Default,
          fmt::format("{} to {} characters", MayBeEmpty ? 0 : 1, MaxTextLength),
          Meaning,
          Store,
          false,
          false};
}

/// Makes a setting for a name; required if it has no default.
SettingInfo
nameSetting(const char *Name, const char *Default, const char *Meaning,
            const std::function<void(ProcessSettings &, std::string)> &Assign) {
  auto Store = [=](ProcessSettings &Settings, std::string_view Text) {
    if (!isName(Text))
      return false;
    Assign(Settings, std::string(Text));
    return true;
  };
  return {Name,
          Default,
          "1 to 63 characters of [a-z0-9_-]",
          Meaning,
          Store,
          false,
          *Default == '\0'};
}

/// Makes a setting for a whole number of \p Unit, which is a duration or a
/// plain number.
template <typename Unit = std::uint64_t, typename Target>
SettingInfo numberSetting(const char *Name, const char *Default,
                          std::uint64_t Min, std::uint64_t Max,
                          Target ProcessSettings::*Member,
                          const char *Meaning) {
  auto Store = [=](ProcessSettings &Settings, std::string_view Text) {
    const std::optional<std::uint64_t> Value = parseNumber(Text, Min, Max);
    if (!Value)
      return false;
    Settings.*Member = static_cast<Target>(Unit(*Value));
    return true;
  };
  return {Name,  Default, fmt::format("{} to {}", Min, Max), Meaning, Store,
          false, false};
}

/// Makes a setting for the port of `PORT` or `ADDR:PORT`; the address is
/// ignored.
SettingInfo listenPortSetting(const char *Name, const char *Default,
                              std::uint16_t ProcessSettings::*Member,
                              const char *Meaning) {
  auto Store = [=](ProcessSettings &Settings, std::string_view Text) {
    const std::size_t Colon = Text.rfind(':');
    if (Colon != std::string_view::npos)
      Text.remove_prefix(Colon + 1);
    const std::optional<std::uint64_t> Value = parseNumber(Text, 0, MaxPort);
    if (!Value)
      return false;
    Settings.*Member = static_cast<std::uint16_t>(*Value);
    return true;
  };
  return {
      Name,
      Default,
      fmt::format("0 to {}, or ADDR:PORT, of which the port counts", MaxPort),
      Meaning,
      Store,
      false,
      false};
}

/// Makes a setting for true or false.
SettingInfo switchSetting(const char *Name, bool ProcessSettings::*Member,
                          const char *Meaning) {
  auto Store = [=](ProcessSettings &Settings, std::string_view Text) {
    if (Text != "true" && Text != "false")
      return false;
    Settings.*Member = Text == "true";
    return true;
  };
  return {Name, "false", "true or false", Meaning, Store, true, false};
}

/// A word that a setting allows, and its value.
template <typename Value> struct Choice final {
  std::string_view m_Word; ///< The word.
  Value m_Value;           ///< Its value.
};

/// Makes a setting for one of \p Choices.
template <typename Value, std::size_t Count>
SettingInfo choiceSetting(const char *Name, const char *Default,
                          std::array<Choice<Value>, Count> Choices,
                          Value ProcessSettings::*Member, const char *Meaning) {
  std::string Allowed;
  for (const Choice<Value> &Option : Choices)
    Allowed += fmt::format("{}{}", Allowed.empty() ? "" : ", ", Option.m_Word);
  auto Store = [=](ProcessSettings &Settings, std::string_view Text) {
    const auto *Found =
        std::ranges::find(Choices, Text, &Choice<Value>::m_Word);
    if (Found == Choices.end())
      return false;
    Settings.*Member = Found->m_Value;
    return true;
  };
  return {Name, Default, Allowed, Meaning, Store, false, false};
}

bool storeRoles(ProcessSettings &Settings, std::string_view Text) {
  Settings.m_IsEntry =
      Text == "entry" || Text == "entry,control" || Text == "control,entry";
  Settings.m_IsControl =
      Text == "control" || Text == "entry,control" || Text == "control,entry";
  return Settings.m_IsEntry || Settings.m_IsControl;
}

bool storeAddress(ProcessSettings &Settings, std::string_view Text) {
  if (!isIpAddress(Text))
    return false;
  Settings.m_Address = std::string(Text);
  return true;
}

bool storePeers(ProcessSettings &Settings, std::string_view Text) {
  if (Text.empty())
    return true;
  std::optional<std::vector<ControlPeer>> Peers = parseControlPeers(Text);
  if (!Peers)
    return false;
  Settings.m_ControlPeers = std::move(*Peers);
  return true;
}

bool storeSeeds(ProcessSettings &Settings, std::string_view Text) {
  const auto Seeds = parseSeeds(Text);
  if (!Seeds)
    return false;
  if (!Seeds->empty())
    Settings.m_ControlPeers = *Seeds;
  return true;
}

/// Digits after the point of a fraction.
constexpr std::size_t FractionDigits = 4;
constexpr std::uint64_t FractionBase = 10'000;

/// Stores a fraction of 0 to 1 in 1/10000.
bool storeQuotaOverage(ProcessSettings &Settings, std::string_view Text) {
  const std::size_t Point = std::min(Text.find('.'), Text.size());
  std::string Decimals(Text.substr(std::min(Point + 1, Text.size())));
  if (Decimals.size() > FractionDigits ||
      (Point < Text.size() && Decimals.empty()))
    return false;
  Decimals.resize(FractionDigits, '0');
  const auto Whole = parseNumber(Text.substr(0, Point), 0, 1);
  const auto Part = parseNumber(Decimals, 0, FractionBase - 1);
  if (!Whole || !Part || *Whole * FractionBase + *Part > FractionBase)
    return false;
  Settings.m_QuotaOverage =
      static_cast<std::uint32_t>(*Whole * FractionBase + *Part);
  return true;
}

bool storePromotionAddress(ProcessSettings &Settings, std::string_view Text) {
  Settings.m_PromotionAddress = parseSocketAddress(Text);
  return Text.empty() || Settings.m_PromotionAddress.has_value();
}

/// Settings for the identity and addresses of the process.
std::vector<SettingInfo> identitySettings() {
  return {
      nameSetting("host", "", "Id of this host, unique in the cluster.",
                  [](ProcessSettings &Settings, std::string Text) {
                    Settings.m_Host = HostId(std::move(Text));
                  }),
      nameSetting("cluster", "ragwortmux",
                  "Name of the cluster that this host belongs to.",
                  [](ProcessSettings &Settings, std::string Text) {
                    Settings.m_Cluster = std::move(Text);
                  }),
      nameSetting("failure_domain", "", "Failure domain that this host is in.",
                  [](ProcessSettings &Settings, std::string Text) {
                    Settings.m_FailureDomain = FailureDomainId(std::move(Text));
                  }),
      {"roles", "entry", "entry, control or entry,control",
       "Roles of this process.", storeRoles},
      {"address", "127.0.0.1", "an IPv4 or IPv6 number",
       "IP number to bind and to advertise.", storeAddress},
      listenPortSetting("caller_port", "6432", &ProcessSettings::m_CallerPort,
                        "TCP port for callers; 0 takes a free one."),
      listenPortSetting("http_port", "8080", &ProcessSettings::m_HttpPort,
                        "TCP port for HTTP: operators, announcements, metrics; "
                        "0 takes a free one."),
      numberSetting("rpc_port", "7400", 0, MaxPort, &ProcessSettings::m_RpcPort,
                    "TCP port for the processes of the cluster; 0 takes a free "
                    "one."),
      {"control_peers", "",
       fmt::format("HOST=ADDR:PORT,... with 1 to {} different hosts and "
                   "addresses",
                   MaxControlPeers),
       "All control hosts with their RPC ports, this one included; "
       "control_seeds may take its place.",
       storePeers, false, false},
      {"control_seeds", "",
       fmt::format("ADDR:PORT,... with up to {} addresses", MaxControlPeers),
       "Some control hosts, from which the others are found; their RPC port is "
       "this host's own, whatever the port here.",
       storeSeeds, false, false},
      textSetting("config", "", &ProcessSettings::m_ConfigFile, true,
                  "File of further settings, one NAME=VALUE a line; flags and "
                  "the environment go before it. SIGHUP reads it again."),
      choiceSetting("protocol", "postgresql",
                    std::array<Choice<CallerProtocol>, 2>{
                        {{"postgresql", CallerProtocol::PostgreSql},
                         {"platform", CallerProtocol::Platform}}},
                    &ProcessSettings::m_Protocol,
                    "What callers, backend servers and operators speak."),
      {"promotion_address", "", "ADDR:PORT or nothing",
       "Where promotions are ordered; for the platform's protocol only.",
       storePromotionAddress, false, false},
      numberSetting("metrics_port", "0", 0, MaxPort,
                    &ProcessSettings::m_MetricsPort,
                    "TCP port for metrics alone; 0: only on http_port."),
  };
}

/// Maximum of control_tolerated_losses.
constexpr std::uint64_t MaxToleratedLosses = 100;

/// Settings of the control role.
std::vector<SettingInfo> controlSettings() {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  return {
      textSetting("data_folder", "", &ProcessSettings::m_DataFolder, true,
                  "Folder of the control log; the control role needs it."),
      numberSetting("control_voters", "0", 0, MaxControlPeers,
                    &ProcessSettings::m_ControlVoters,
                    "How many of the control hosts that are found vote at "
                    "least; from 3 on, further ones vote too, up to 5. 0: all "
                    "of control_peers, and no others."),
      numberSetting("control_tolerated_losses", "0", 0, MaxToleratedLosses,
                    &ProcessSettings::m_ControlToleratedLosses,
                    "How many control hosts may lose their data folders at "
                    "once; with control_voters above 0, at least 2n+1 vote."),
      switchSetting("bootstrap", &ProcessSettings::m_Bootstrap,
                    "Starts the log of a new cluster once every host of "
                    "control_peers has answered that it holds none."),
      numberSetting<milliseconds>(
          "lease_ms", "1200", 100, 60000, &ProcessSettings::m_Lease,
          "Length of a control session's lease in ms; the same everywhere."),
      numberSetting<milliseconds>(
          "renewal_interval_ms", "300", 10, 30000,
          &ProcessSettings::m_RenewalInterval,
          "Time from one lease renewal to the next in ms."),
      numberSetting("drift_percent", "1", 0, 50,
                    &ProcessSettings::m_DriftPercent,
                    "Bound on clock drift as a percentage of the lease."),
      numberSetting<milliseconds>("drift_ms", "10", 0, 10000,
                                  &ProcessSettings::m_Drift,
                                  "Fixed part of the drift bound in ms."),
      numberSetting<milliseconds>(
          "heartbeat_ms", "50", 5, 5000, &ProcessSettings::m_Heartbeat,
          "Time from one heartbeat of the control leader to the next in ms."),
      numberSetting<milliseconds>(
          "election_timeout_ms", "300", 20, 60000,
          &ProcessSettings::m_ElectionTimeout,
          "Silence of the control leader before an election in ms."),
      numberSetting<milliseconds>(
          "announcement_silence_ms", "300", 200, 60000,
          &ProcessSettings::m_AnnouncementSilence,
          "Silence of a backend server before it counts as lost in ms."),
      numberSetting("connection_reserve_percent", "0", 0, 90,
                    &ProcessSettings::m_ConnectionReservePercent,
                    "Part of a backend server's connections that is kept for "
                    "entry hosts that start while connections of lost ones "
                    "linger there, in percent."),
      numberSetting("connection_share_max", "0", 0, 100000,
                    &ProcessSettings::m_ConnectionShareMax,
                    "Connections of one entry host to one backend server at "
                    "most, so that hosts that start later find some left at "
                    "once; 0: no bound."),
      numberSetting<milliseconds>(
          "server_silence_ms", "1000", 200, 60000,
          &ProcessSettings::m_ServerSilence,
          "Silence of a backend server before it gets no new requests in ms; "
          "more than three of its announcement intervals."),
      numberSetting<seconds>(
          "quota_window_s", "0", 0, 3600, &ProcessSettings::m_QuotaWindow,
          "Window over which the rate limits of workspaces hold in s; 0: they "
          "are not enforced. The same on all control hosts."),
      {"quota_overage", "0", "0 to 1 with up to 4 decimals",
       "Fraction by which a workspace may exceed its limit in a window; the "
       "same on all control hosts.",
       storeQuotaOverage, false, false},
      numberSetting("quota_slack", "0", 0, 1000000,
                    &ProcessSettings::m_QuotaSlack,
                    "Operations by which a workspace may exceed its limit in a "
                    "window, in addition to quota_overage; the same on all "
                    "control hosts."),
      numberSetting<hours>(
          "ledger_retention_h", "24", 1, 168,
          &ProcessSettings::m_LedgerRetention,
          "How long the outcomes of keyed requests are kept in hours."),
  };
}

/// Settings of the entry role.
std::vector<SettingInfo> entrySettings() {
  using std::chrono::milliseconds;
  return {
      numberSetting("serving_hosts_per_domain", "4", 1, 64,
                    &ProcessSettings::m_ServingHostsPerDomain,
                    "Entry hosts of a failure domain that hold connections to "
                    "a group's servers; the same everywhere."),
      switchSetting("shed_load", &ProcessSettings::m_ShedLoad,
                    "Refuses statements of stateful sessions at once that can "
                    "no longer be served before their deadline."),
      switchSetting(
          "cross_domain_routing", &ProcessSettings::m_CrossDomainRouting,
          "Sends reads to other failure domains when that saves more waiting "
          "time than their bytes are worth; false: at a fixed cost."),
      numberSetting(
          "cross_domain_us_per_kb", "1000", 0, 1000000,
          &ProcessSettings::m_CrossDomainUsPerKb,
          "Microseconds of a caller's waiting time that a kilobyte between "
          "failure domains is worth; a read that saves less stays."),
      numberSetting("cross_domain_max_share_percent", "50", 1, 100,
                    &ProcessSettings::m_CrossDomainMaxSharePercent,
                    "Most reads of a group on this host that leave the failure "
                    "domain while a server there can serve them, in percent."),
      numberSetting("cross_domain_max_kb_per_s", "64", 0, 1000000,
                    &ProcessSettings::m_CrossDomainMaxKbPerSecond,
                    "Most kilobytes a second of these reads for each group on "
                    "this host; 0: no limit."),
      numberSetting("cross_domain_room_percent", "40", 1, 100,
                    &ProcessSettings::m_CrossDomainRoomPercent,
                    "Most slots of a foreign server that this host takes by "
                    "them, in percent; at least one slot."),
      numberSetting("max_callers", "1000", 1, 100000,
                    &ProcessSettings::m_MaxCallers,
                    "Most connections of callers at once."),
      numberSetting("max_caller_message_bytes", "1048576", 1024, 67108864,
                    &ProcessSettings::m_MaxCallerMessageBytes,
                    "Largest message of a caller in bytes."),
      numberSetting<milliseconds>(
          "request_timeout_ms", "1000", 10, 60000,
          &ProcessSettings::m_RequestTimeout,
          "Time-out of one call to another process of the cluster in ms."),
      numberSetting<milliseconds>(
          "connect_timeout_ms", "1000", 10, 60000,
          &ProcessSettings::m_ConnectTimeout,
          "Time-out of opening a connection to a backend server in ms."),
      textSetting("backend_user", "ragwortmux", &ProcessSettings::m_BackendUser,
                  false, "User name at backend servers."),
      textSetting("backend_database", "ragwortmux",
                  &ProcessSettings::m_BackendDatabase, false,
                  "Database name at backend servers."),
      switchSetting("allow_single_server_ack",
                    &ProcessSettings::m_AllowSingleServerAck,
                    "Lets a group that has one backend server only acknowledge "
                    "writes; they are lost with it."),
  };
}

/// Limits on clients that do not behave. A client that stays within messages of
/// 1 MiB and reads its answers does not reach the defaults; those of bytes
/// leave an entry process with 160 MB enough for the copies of a message on its
/// way to a backend server.
std::vector<SettingInfo> clientLimitSettings() {
  using std::chrono::milliseconds;
  constexpr std::uint64_t MinBytes = 65536;
  constexpr std::uint64_t MaxBytes = 2147483648;
  constexpr std::uint64_t MinMs = 100;
  constexpr std::uint64_t MaxMs = 3600000;
  return {
      numberSetting("caller_budget_bytes", "25165824", MinBytes, MaxBytes,
                    &ProcessSettings::m_CallerBudgetBytes,
                    "Bytes of callers' queued and half-read input and unsent "
                    "answers; from three quarters on, callers that hold more "
                    "than 16 KiB are not read from."),
      numberSetting("caller_connection_budget_bytes", "4259840", MinBytes,
                    MaxBytes, &ProcessSettings::m_CallerConnectionBudgetBytes,
                    "The same for one caller, who is then not read from; at "
                    "least four times max_caller_message_bytes and 64 KiB. A "
                    "quarter is for the session's values and prepared "
                    "statements."),
      numberSetting("caller_workspace_budget_bytes", "12582912", MinBytes,
                    MaxBytes, &ProcessSettings::m_CallerWorkspaceBudgetBytes,
                    "The same for the callers of one workspace; those that "
                    "hold more than 16 KiB are then not read from."),
      numberSetting<milliseconds>(
          "caller_budget_grace_ms", "5000", MinMs, MaxMs,
          &ProcessSettings::m_CallerBudgetGrace,
          "Time in ms that caller_budget_bytes stays three quarters used up "
          "before the callers that hold most are closed."),
      numberSetting<milliseconds>(
          "caller_message_timeout_ms", "60000", MinMs, MaxMs,
          &ProcessSettings::m_CallerMessageTimeout,
          "Time in ms from a caller's connecting to its startup, and from a "
          "message's first byte to its last."),
      numberSetting<milliseconds>(
          "caller_answer_timeout_ms", "60000", MinMs, MaxMs,
          &ProcessSettings::m_CallerAnswerTimeout,
          "Time in ms in which a caller takes what is written to it."),
      numberSetting("caller_pipeline_max", "64", 1, 100000,
                    &ProcessSettings::m_CallerPipelineMax,
                    "Unanswered statements of a caller from which on it is not "
                    "read from."),
      numberSetting("max_starting_callers", "512", 1, 100000,
                    &ProcessSettings::m_MaxStartingCallers,
                    "Connections of callers that have not completed their "
                    "startup; above it, the oldest that are a second old are "
                    "closed."),
      numberSetting("http_max_connections", "128", 1, 100000,
                    &ProcessSettings::m_HttpMaxConnections,
                    "HTTP connections to one port; above it, the one that has "
                    "been without a whole request longest is closed."),
      numberSetting("http_budget_bytes", "16777216", 2097152, MaxBytes,
                    &ProcessSettings::m_HttpBudgetBytes,
                    "Bytes of the bodies of HTTP requests in progress on one "
                    "port; a request above it gets status 503."),
      numberSetting<milliseconds>(
          "http_request_timeout_ms", "15000", MinMs, MaxMs,
          &ProcessSettings::m_HttpRequestTimeout,
          "Time in ms for an HTTP request's header, for its body and for the "
          "reading of its answer."),
      numberSetting(
          "rpc_unproved_max", "128", 1, 100000,
          &ProcessSettings::m_RpcUnprovedMax,
          "Connections to the RPC port that have not proved the "
          "cluster key; above it, the oldest that are a second old are "
          "closed."),
      numberSetting("rpc_unproved_bytes", "65536", 4096, 1048576,
                    &ProcessSettings::m_RpcUnprovedBytes,
                    "Bytes that a connection may send before it has proved the "
                    "cluster key."),
      numberSetting<milliseconds>(
          "rpc_proof_timeout_ms", "10000", MinMs, MaxMs,
          &ProcessSettings::m_RpcProofTimeout,
          "Time in ms for the proof of the cluster key on a new connection."),
  };
}

/// Settings for shutdown, log and time line.
std::vector<SettingInfo> processSettings() {
  using std::chrono::seconds;
  constexpr std::array<Choice<LogLevel>, 5> Levels = {
      {{"trace", LogLevel::Trace},
       {"debug", LogLevel::Debug},
       {"info", LogLevel::Info},
       {"warn", LogLevel::Warn},
       {"error", LogLevel::Error}}};
  constexpr std::array<Choice<LogFormat>, 2> Formats = {
      {{"text", LogFormat::Text}, {"json", LogFormat::Json}}};
  return {
      numberSetting<seconds>(
          "drain_timeout_s", "30", 1, 3600, &ProcessSettings::m_DrainTimeout,
          "Longest wait for requests in flight at shutdown in s."),
      numberSetting<seconds>(
          "max_lifetime_s", "0", 0, 86400, &ProcessSettings::m_MaxLifetime,
          "Shuts the process down after this time in s; 0 = never."),
      choiceSetting("log_level", "info", Levels, &ProcessSettings::m_LogLevel,
                    "Least level that is logged."),
      choiceSetting("log_format", "text", Formats,
                    &ProcessSettings::m_LogFormat, "Form of the log lines."),
      choiceSetting(
          "log_output", "stderr",
          std::array<Choice<int>, 2>{{{"stderr", 2}, {"stdout", 1}}},
          &ProcessSettings::m_LogDescriptor,
          "Where log lines go. A reader without room costs lines, never time."),
      numberSetting("log_lines_per_s", "0", 0, 1000000,
                    &ProcessSettings::m_LogLinesPerSecond,
                    "Log lines a second at most; those above are counted; 0: "
                    "no limit."),
      textSetting("timeline_folder", "", &ProcessSettings::m_TimelineFolder,
                  true, "Folder of the time line files; empty = none."),
  };
}

std::vector<SettingInfo> makeTable() {
  std::vector<SettingInfo> Table;
  for (std::vector<SettingInfo> Rows :
       {identitySettings(), controlSettings(), entrySettings(),
        clientLimitSettings(), processSettings()}) {
    std::ranges::move(Rows, std::back_inserter(Table));
  }
  return Table;
}

} // namespace

std::span<const SettingInfo> allSettings() {
  static const std::vector<SettingInfo> Table = makeTable();
  return Table;
}

std::string allowedSecret() {
  return fmt::format("{} to {} printable characters without blanks",
                     Secret::MinLength, Secret::MaxLength);
}

std::string environmentName(std::string_view Name) {
  std::string Result = "RAGWORTMUX_";
  for (const char Character : Name)
    Result += static_cast<char>(std::toupper(Character));
  return Result;
}

} // namespace ragwortmux
