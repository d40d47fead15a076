#include "ragwortmux/Process/Support/ProcessSettings.h"

#include "ragwortmux/Process/Support/FlagParser.h"
#include "ragwortmux/Process/Support/SettingFile.h"
#include "ragwortmux/Process/Support/SettingTable.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdlib>

namespace ragwortmux {

namespace {

constexpr std::int64_t PercentPerWhole = 100;
/// The setting that names the file of further settings.
constexpr const char *ConfigSetting = "config";

/// Reads and checks one secret.
Secret loadSecret(const SecretInfo &Info, const EnvironmentHook &Environment,
                  std::vector<SettingFault> &Faults) {
  const std::optional<std::string> Text = Environment(Info.m_Variable);
  if (Text && Secret::isAllowed(*Text))
    return Secret(*Text);
  Faults.push_back({ResultCode::BadSetting, Info.m_Variable,
                    Text ? "***" : "(not set)", allowedSecret()});
  return Secret();
}

/// Loads the settings from their sources and collects the faults.
class SettingLoader final {
public:
  SettingLoader(const ParsedFlags &Flags, const SettingFile &File,
                const EnvironmentHook &Environment,
                std::vector<SettingFault> &Faults)
      : m_Flags(Flags), m_File(File), m_Environment(Environment),
        m_Faults(Faults) {}

  /// Loads each setting on its own; flags take precedence over the environment,
  /// and the environment over the file.
  void loadAll() {
    for (const SettingInfo &Info : allSettings()) {
      std::optional<std::string> Text = m_Flags.value(Info.m_Name);
      if (!Text)
        Text = m_Environment(environmentName(Info.m_Name));
      if (!Text)
        Text = m_File.value(Info.m_Name);
      if (!Text && Info.m_IsRequired) {
        addFault(Info.m_Name, "(not set)", Info.m_Allowed);
        continue;
      }
      if (!Text)
        Text = Info.m_Default;
      if (!Info.m_Store(m_Settings, *Text))
        addFault(Info.m_Name, *Text, Info.m_Allowed);
    }
    if (m_Settings.m_ControlPeers.empty() &&
        areValid({"control_peers", "control_seeds"}))
      addFault("control_peers", "(not set)", "this or control_seeds");
    completeSeeds();
    m_Settings.m_ClusterKey =
        loadSecret(ClusterKeyInfo, m_Environment, m_Faults);
    m_Settings.m_OperatorToken = loadOperatorToken(m_Environment, m_Faults);
  }

  /// Checks the rules that involve several settings.
  void checkCombinations() {
    checkTimes();
    checkQuota();
    checkControlRole();
    checkPorts();
  }

  ProcessSettings m_Settings; ///< Settings loaded so far.

private:
  void completeSeeds() {
    for (ControlPeer &Peer : m_Settings.m_ControlPeers) {
      if (!Peer.m_Host.value().empty())
        continue;
      completeSeed(Peer, m_Settings.m_RpcPort);
      m_HasSeeds = true;
    }
  }

  void addFault(std::string Name, std::string Value, std::string Allowed) {
    m_Faults.push_back({ResultCode::BadSetting, std::move(Name),
                        std::move(Value), std::move(Allowed)});
  }

  void addFault(std::string Name, Duration Value, std::string Allowed) {
    const auto Count =
        std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
    addFault(std::move(Name), std::to_string(Count), std::move(Allowed));
  }

  /// True if none of \p Names has a fault. The checks below skip settings that
  /// are already invalid on their own.
  bool areValid(std::initializer_list<std::string_view> Names) const {
    return std::ranges::none_of(m_Faults, [&](const SettingFault &Fault) {
      return std::ranges::find(Names, Fault.m_Name) != Names.end();
    });
  }

  void checkTimes() {
    if (areValid({"lease_ms", "renewal_interval_ms"}) &&
        m_Settings.m_Lease <= 2 * m_Settings.m_RenewalInterval)
      addFault("lease_ms", m_Settings.m_Lease,
               "more than twice renewal_interval_ms");
    if (areValid({"lease_ms", "drift_percent", "drift_ms"}) &&
        m_Settings.driftBound() >= m_Settings.m_Lease)
      addFault("drift_ms", m_Settings.m_Drift,
               "with drift_percent less than lease_ms");
    if (areValid({"election_timeout_ms", "heartbeat_ms"}) &&
        m_Settings.m_ElectionTimeout <= 2 * m_Settings.m_Heartbeat)
      addFault("election_timeout_ms", m_Settings.m_ElectionTimeout,
               "more than twice heartbeat_ms");
  }

  void checkQuota() {
    // Less slack would leave a workspace without a burst a bucket that holds
    // no whole operation.
    constexpr std::uint32_t MinSlack = 2;
    if (areValid({"quota_window_s", "quota_slack"}) &&
        m_Settings.m_QuotaWindow > Duration(0) &&
        m_Settings.m_QuotaSlack < MinSlack)
      addFault("quota_slack", std::to_string(m_Settings.m_QuotaSlack),
               "2 or more with quota_window_s above 0");
  }

  void checkControlRole() {
    if (!areValid({"roles"}))
      return;
    if (!m_Settings.m_IsControl) {
      if (m_Settings.m_Bootstrap)
        addFault("bootstrap", "true", "false without the control role");
      return;
    }
    if (m_Settings.m_DataFolder.empty() && areValid({"data_folder"}))
      addFault("data_folder", "", "a folder, since roles has control");
    if (m_HasSeeds ||
        !areValid({"control_peers", "host", "address", "rpc_port"}))
      return;
    const ControlPeer *Own = m_Settings.ownPeer();
    if (Own == nullptr) {
      addFault("control_peers", "(without this host)",
               "a list with this host, since roles has control");
      return;
    }
    const SocketAddress Listening{m_Settings.m_Address, m_Settings.m_RpcPort};
    if (Own->m_Endpoint != Listening)
      addFault("control_peers", formatSocketAddress(Own->m_Endpoint),
               fmt::format("{} for this host, as in address and rpc_port",
                           formatSocketAddress(Listening)));
  }

  void checkPorts() {
    struct NamedPort final {
      const char *m_Name;
      std::uint16_t m_Port;
    };
    const std::array<NamedPort, 3> Ports = {
        {{"caller_port", m_Settings.m_CallerPort},
         {"http_port", m_Settings.m_HttpPort},
         {"rpc_port", m_Settings.m_RpcPort}}};
    for (std::size_t Index = 1; Index < Ports.size(); ++Index) {
      const NamedPort &Later = Ports.at(Index);
      const bool IsTaken = std::any_of(Ports.begin(), Ports.begin() + Index,
                                       [&](const NamedPort &Earlier) {
                                         return Earlier.m_Port == Later.m_Port;
                                       });
      if (Later.m_Port != 0 && IsTaken)
        addFault(Later.m_Name, std::to_string(Later.m_Port),
                 "a port that no other setting has");
    }
  }

  const ParsedFlags &m_Flags;           ///< Flags of the command line.
  const SettingFile &m_File;            ///< Settings of the file.
  bool m_HasSeeds = false;              ///< Control hosts are found by seeds.
  const EnvironmentHook &m_Environment; ///< Reads the environment.
  std::vector<SettingFault> &m_Faults;  ///< Where faults are added.
};

std::vector<FlagInfo> settingFlags() {
  std::vector<FlagInfo> Flags;
  for (const SettingInfo &Info : allSettings())
    Flags.push_back({Info.m_Name, Info.m_Meaning, Info.m_IsSwitch});
  return Flags;
}

} // namespace

Duration ProcessSettings::driftBound() const {
  return m_Lease * m_DriftPercent / PercentPerWhole + m_Drift;
}

std::size_t ProcessSettings::targetVoters() const {
  if (m_ControlVoters == 0)
    return 0;
  return std::max<std::size_t>(m_ControlVoters,
                               2 * m_ControlToleratedLosses + 1);
}

std::size_t ProcessSettings::maxVoters() const {
  // Five voters bear the loss of two, for example of a host that is replaced
  // without notice and of another one that loses its disk.
  constexpr std::size_t SpareVoters = 5;
  constexpr std::size_t LeastWithSpares = 3;
  const std::size_t Target = targetVoters();
  return Target < LeastWithSpares ? Target : std::max(Target, SpareVoters);
}

const ControlPeer *ProcessSettings::ownPeer() const {
  const auto Found =
      std::ranges::find(m_ControlPeers, m_Host, &ControlPeer::m_Host);
  return Found == m_ControlPeers.end() ? nullptr : &*Found;
}

EnvironmentHook processEnvironment() {
  return [](const std::string &Name) -> std::optional<std::string> {
    // NOLINTNEXTLINE(concurrency-mt-unsafe): read before any thread starts
    const char *Value = std::getenv(Name.c_str());
    if (Value == nullptr)
      return std::nullopt;
    return std::string(Value);
  };
}

Secret loadOperatorToken(const EnvironmentHook &Environment,
                         std::vector<SettingFault> &Faults) {
  return loadSecret(OperatorTokenInfo, Environment, Faults);
}

ProcessSettings defaultSettings() {
  ProcessSettings Settings;
  for (const SettingInfo &Info : allSettings()) {
    if (Info.m_IsRequired)
      continue;
    [[maybe_unused]] const bool IsStored =
        Info.m_Store(Settings, Info.m_Default);
    assert(IsStored && "a default must be allowed");
  }
  return Settings;
}

std::optional<ProcessSettings>
loadSettings(std::span<const std::string> Arguments,
             const EnvironmentHook &Environment,
             std::vector<SettingFault> &Faults) {
  const std::size_t Before = Faults.size();
  const std::vector<FlagInfo> Known = settingFlags();
  const ParsedFlags Flags =
      parseFlags(Known, Arguments, ResultCode::BadSetting, Faults);
  // An argument that is not a flag may be the value of a mistyped flag, so it
  // is not shown.
  if (!Flags.m_Positional.empty())
    Faults.push_back({ResultCode::BadSetting, "argument", "(not shown)",
                      "only flags, as --name=value"});

  const std::optional<std::string> Path =
      Flags.value(ConfigSetting) ? Flags.value(ConfigSetting)
                                 : Environment(environmentName(ConfigSetting));
  // A path that the setting does not allow is not opened; the fault is added
  // when the setting itself is loaded.
  ProcessSettings Checked;
  const bool IsAllowed =
      Path && std::ranges::any_of(allSettings(), [&](const SettingInfo &Info) {
        return Info.m_Name == std::string_view(ConfigSetting) &&
               Info.m_Store(Checked, *Path);
      });
  const SettingFile File = SettingFile::read(IsAllowed ? *Path : "", Faults);
  SettingLoader Loader(Flags, File, Environment, Faults);
  Loader.loadAll();
  Loader.checkCombinations();
  if (Faults.size() != Before)
    return std::nullopt;
  return std::move(Loader.m_Settings);
}

} // namespace ragwortmux
