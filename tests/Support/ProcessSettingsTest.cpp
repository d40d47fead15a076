#include "ragwortmux/Process/Support/ProcessSettings.h"
#include "ragwortmux/Process/Support/SettingTable.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <sstream>

using namespace ragwortmux;
using namespace std::chrono_literals;

static_assert(!fmt::is_formattable<Secret>::value,
              "a secret must not reach the log");

namespace {

using EnvironmentVariables = std::map<std::string, std::string>;
using Arguments = std::vector<std::string>;

const std::string Key = "key-0123456789-abcdef";
const std::string Token = "token-0123456789-abcdef";

/// A valid environment of a host with both roles.
EnvironmentVariables validVariables() {
  return {{"RAGWORTMUX_HOST", "a"},
          {"RAGWORTMUX_FAILURE_DOMAIN", "hobart"},
          {"RAGWORTMUX_ROLES", "entry,control"},
          {"RAGWORTMUX_DATA_FOLDER", "/data"},
          {"RAGWORTMUX_CONTROL_PEERS", "a=127.0.0.1:7400,b=127.0.0.1:7401"},
          {"RAGWORTMUX_CLUSTER_KEY", Key},
          {"RAGWORTMUX_OPERATOR_TOKEN", Token}};
}

/// Result of loadSettings.
struct LoadResult final {
  std::optional<ProcessSettings> m_Settings;
  std::vector<SettingFault> m_Faults;
};

LoadResult load(const EnvironmentVariables &Environment,
                const Arguments &Given) {
  const EnvironmentHook Hook =
      [&](const std::string &Name) -> std::optional<std::string> {
    const auto Found = Environment.find(Name);
    if (Found == Environment.end())
      return std::nullopt;
    return Found->second;
  };
  LoadResult Result;
  Result.m_Settings = loadSettings(Given, Hook, Result.m_Faults);
  return Result;
}

/// A command line with one fault, or with none where m_Name is empty.
struct FlagCase final {
  Arguments m_CommandLine;
  std::string m_Name;
  std::string m_Value;
};

std::ostream &operator<<(std::ostream &Stream, const FlagCase &Case) {
  for (const std::string &Argument : Case.m_CommandLine)
    Stream << Argument << ' ';
  return Stream << "-> " << Case.m_Name;
}

const std::vector<FlagCase> FlagCases = {
    {{}, "", ""},
    {{"--host=B"}, "host", "B"},
    {{"--host="}, "host", ""},
    {{"--cluster=\x7f"}, "cluster", "\x7f"},
    {{"--cluster=two words"}, "cluster", "two words"},
    {{"--failure_domain=" + std::string(64, 'x')},
     "failure_domain",
     std::string(64, 'x')},
    {{"--roles=proxy"}, "roles", "proxy"},
    {{"--roles=control"}, "", ""},
    {{"--address=localhost"}, "address", "localhost"},
    {{"--caller_port=65536"}, "caller_port", "65536"},
    {{"--http_port=-1"}, "http_port", "-1"},
    {{"--rpc_port=0x10"}, "rpc_port", "0x10"},
    {{"--http_port=0", "--caller_port=0"}, "", ""},
    {{"--http_port=6432"}, "http_port", "6432"},
    {{"--control_peers=a=127.0.0.1"}, "control_peers", "a=127.0.0.1"},
    {{"--control_peers=a=127.0.0.1:7400,"},
     "control_peers",
     "a=127.0.0.1:7400,"},
    {{"--control_peers=a=127.0.0.1:7400,a=127.0.0.1:7401"},
     "control_peers",
     "a=127.0.0.1:7400,a=127.0.0.1:7401"},
    {{"--control_peers=a=127.0.0.1:7400,b=127.0.0.1:7400"},
     "control_peers",
     "a=127.0.0.1:7400,b=127.0.0.1:7400"},
    {{"--control_peers=b=127.0.0.1:7401"},
     "control_peers",
     "(without this host)"},
    {{"--control_peers=a=[::1]:7400"}, "control_peers", "[::1]:7400"},
    {{"--control_peers=a=[::1]:7400", "--address=::1"}, "", ""},
    {{"--rpc_port=7401"}, "control_peers", "127.0.0.1:7400"},
    {{"--data_folder="}, "data_folder", ""},
    {{"--data_folder=", "--roles=entry"}, "", ""},
    {{"--bootstrap"}, "", ""},
    {{"--bootstrap=yes"}, "bootstrap", "yes"},
    {{"--bootstrap", "--roles=entry"}, "bootstrap", "true"},
    {{"--lease_ms=600"}, "lease_ms", "600"},
    {{"--lease_ms=601"}, "", ""},
    {{"--lease_ms=1e3"}, "lease_ms", "1e3"},
    {{"--renewal_interval_ms=600"}, "lease_ms", "1200"},
    {{"--drift_percent=51"}, "drift_percent", "51"},
    {{"--drift_ms=1188"}, "drift_ms", "1188"},
    {{"--drift_ms=1187"}, "", ""},
    {{"--heartbeat_ms=150"}, "election_timeout_ms", "300"},
    {{"--announcement_silence_ms=199"}, "announcement_silence_ms", "199"},
    {{"--max_callers=0"}, "max_callers", "0"},
    {{"--max_caller_message_bytes=67108865"},
     "max_caller_message_bytes",
     "67108865"},
    {{"--drain_timeout_s=0"}, "drain_timeout_s", "0"},
    {{"--max_lifetime_s=86401"}, "max_lifetime_s", "86401"},
    {{"--log_level=loud"}, "log_level", "loud"},
    {{"--log_format=xml"}, "log_format", "xml"},
    {{"--timeline_folder=a\nb"}, "timeline_folder", "a\nb"},
    {{"--ledger_retention_h=169"}, "ledger_retention_h", "169"},
    {{"--allow_single_server_ack=1"}, "allow_single_server_ack", "1"},
    {{"--request_timeout_ms=9"}, "request_timeout_ms", "9"},
    {{"--connect_timeout_ms=60001"}, "connect_timeout_ms", "60001"},
    {{"--backend_user="}, "backend_user", ""},
    {{"--backend_database="}, "backend_database", ""},
    {{"--host"}, "--host", ""},
    {{"--host", "--bootstrap"}, "--host", ""},
    {{"--hots=a"}, "--hots", "(not shown)"},
    {{"--flagfile=/dev/null"}, "--flagfile", "(not shown)"},
    {{"--cluster_key=" + Key}, "--cluster_key", "(not shown)"},
    {{Token}, "argument", "(not shown)"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ProcessSettingsTest)

BOOST_DATA_TEST_CASE(InvalidSettingIsReportedByName,
                     boost::unit_test::data::make(FlagCases), Case) {
  const LoadResult Result = load(validVariables(), Case.m_CommandLine);
  BOOST_TEST(Result.m_Settings.has_value() == Case.m_Name.empty());
  BOOST_TEST_REQUIRE(Result.m_Faults.size() == (Case.m_Name.empty() ? 0U : 1U),
                     describeAll(Result.m_Faults));
  if (Case.m_Name.empty())
    return;
  const SettingFault &Fault = Result.m_Faults.front();
  BOOST_TEST(Fault.m_Name == Case.m_Name);
  BOOST_TEST(Fault.m_Value == Case.m_Value);
  BOOST_TEST(!Fault.m_Allowed.empty());
  BOOST_TEST(describe(Fault).starts_with("401 bad-setting: "));
  BOOST_TEST(describe(Fault).find_first_of("\n\x7f") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(EveryMissingSettingIsReported) {
  const LoadResult Result = load({}, {});
  std::vector<std::string> Names;
  for (const SettingFault &Fault : Result.m_Faults)
    Names.push_back(Fault.m_Name);
  const std::vector<std::string> Expected = {
      "host", "failure_domain", "control_peers", "RAGWORTMUX_CLUSTER_KEY",
      "RAGWORTMUX_OPERATOR_TOKEN"};
  BOOST_TEST(Names == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(EachSettingIsReadFromFlagAndEnvironment) {
  // A value that no setting allows shows which source was read.
  const std::string Bad(300, '\n');
  for (const SettingInfo &Info : allSettings()) {
    EnvironmentVariables Environment = validVariables();
    Environment[environmentName(Info.m_Name)] = Bad;
    const LoadResult FromEnvironment = load(Environment, {});
    BOOST_TEST_REQUIRE(FromEnvironment.m_Faults.size() == 1U, Info.m_Name);
    BOOST_TEST(FromEnvironment.m_Faults.front().m_Name == Info.m_Name);
    const LoadResult FromFlag =
        load(validVariables(), {"--" + std::string(Info.m_Name) + "=" + Bad});
    BOOST_TEST(FromFlag.m_Faults == FromEnvironment.m_Faults);
  }
}

BOOST_AUTO_TEST_CASE(FlagsOverrideEnvironmentAndDoNotPersist) {
  EnvironmentVariables Environment = validVariables();
  Environment["RAGWORTMUX_LEASE_MS"] = "2000";
  const LoadResult ByFlag = load(Environment, {"--lease_ms", "3000"});
  BOOST_TEST_REQUIRE(ByFlag.m_Settings.has_value());
  BOOST_TEST((ByFlag.m_Settings->m_Lease == 3s));
  const LoadResult ByEnvironment = load(Environment, {});
  BOOST_TEST_REQUIRE(ByEnvironment.m_Settings.has_value());
  BOOST_TEST((ByEnvironment.m_Settings->m_Lease == 2s));
}

BOOST_AUTO_TEST_CASE(DefaultsMatchTheSettingTable) {
  const LoadResult Result = load(validVariables(), {});
  BOOST_TEST_REQUIRE(Result.m_Settings.has_value());
  const ProcessSettings &Settings = *Result.m_Settings;
  BOOST_TEST((Settings.m_Lease == 1200ms && Settings.m_Heartbeat == 50ms));
  BOOST_TEST((Settings.driftBound() == 22ms));
  BOOST_TEST((Settings.m_LedgerRetention == 24h));
  BOOST_TEST(!Settings.m_AllowSingleServerAck);
  BOOST_TEST_REQUIRE(Settings.ownPeer() != nullptr);
  BOOST_TEST(Settings.ownPeer()->m_Endpoint.m_Port == 7400);
  const ProcessSettings Defaults = defaultSettings();
  BOOST_TEST((Defaults.m_Lease == Settings.m_Lease));
  BOOST_TEST(Defaults.ownPeer() == nullptr);
}

// Guards against limits under which a workspace without a burst gets nothing.
BOOST_AUTO_TEST_CASE(EnforcedLimitsNeedSlack) {
  EnvironmentVariables Environment = validVariables();
  Environment["RAGWORTMUX_QUOTA_WINDOW_S"] = "5";
  Environment["RAGWORTMUX_QUOTA_SLACK"] = "1";
  const LoadResult Bad = load(Environment, {});
  BOOST_TEST_REQUIRE(Bad.m_Faults.size() == 1U);
  BOOST_TEST(Bad.m_Faults.front().m_Name == "quota_slack");
  Environment["RAGWORTMUX_QUOTA_SLACK"] = "2";
  const LoadResult Good = load(Environment, {});
  BOOST_TEST_REQUIRE(Good.m_Settings.has_value());
  BOOST_TEST((Good.m_Settings->m_QuotaWindow == 5s));
}

// Guards against a fraction that is read as another one, which would change the
// bound of every workspace.
BOOST_AUTO_TEST_CASE(QuotaOverageIsAFraction) {
  struct Case final {
    const char *m_Text;                      ///< Value of quota_overage.
    std::optional<std::uint32_t> m_Expected; ///< In 1/10000; none: a fault.
  };
  const Case Cases[] = {{"0", 0},
                        {"1", 10000},
                        {"0.1", 1000},
                        {"0.25", 2500},
                        {"0.0001", 1},
                        {"1.0", 10000},
                        {"1.1", std::nullopt},
                        {"2", std::nullopt},
                        {"0.", std::nullopt},
                        {".1", std::nullopt},
                        {"-0.1", std::nullopt},
                        {"0.-1", std::nullopt},
                        {"0.00001", std::nullopt},
                        {"0.1.1", std::nullopt},
                        {"", std::nullopt}};
  for (const Case &Each : Cases) {
    EnvironmentVariables Environment = validVariables();
    Environment["RAGWORTMUX_QUOTA_OVERAGE"] = Each.m_Text;
    const LoadResult Result = load(Environment, {});
    BOOST_TEST_REQUIRE(Result.m_Settings.has_value() ==
                           Each.m_Expected.has_value(),
                       Each.m_Text);
    if (Result.m_Settings)
      BOOST_TEST(Result.m_Settings->m_QuotaOverage == *Each.m_Expected);
  }
}

// Guards against "accepted changes lost with the disks of two control hosts": a
// log with three voters keeps an entry on two of them only.
BOOST_AUTO_TEST_CASE(VotersOutnumberToleratedLosses) {
  struct Case final {
    const char *m_Voters;   ///< Value of control_voters.
    const char *m_Losses;   ///< Value of control_tolerated_losses.
    std::size_t m_Expected; ///< Number of voters.
  };
  const Case Cases[] = {{"0", "0", 0}, {"0", "2", 0}, {"1", "0", 1},
                        {"3", "0", 3}, {"3", "1", 3}, {"3", "2", 5},
                        {"5", "1", 5}, {"3", "4", 9}};
  for (const Case &Each : Cases) {
    EnvironmentVariables Environment = validVariables();
    Environment["RAGWORTMUX_CONTROL_VOTERS"] = Each.m_Voters;
    Environment["RAGWORTMUX_CONTROL_TOLERATED_LOSSES"] = Each.m_Losses;
    const LoadResult Result = load(Environment, {});
    BOOST_TEST_REQUIRE(Result.m_Settings.has_value());
    BOOST_TEST(Result.m_Settings->targetVoters() == Each.m_Expected);
  }
}

BOOST_AUTO_TEST_CASE(InvalidSecretsAreRejectedAndNotShown) {
  const std::vector<std::string> BadSecrets = {
      "", std::string(15, 'x'), std::string(257, 'x'), "0123456789 abcdef",
      "0123456789\nabcdef"};
  for (const std::string &Bad : BadSecrets) {
    for (const SecretInfo &Info : {ClusterKeyInfo, OperatorTokenInfo}) {
      EnvironmentVariables Environment = validVariables();
      Environment[Info.m_Variable] = Bad;
      const LoadResult Result = load(Environment, {});
      BOOST_TEST_REQUIRE(Result.m_Faults.size() == 1U);
      BOOST_TEST(Result.m_Faults.front().m_Name == Info.m_Variable);
      BOOST_TEST(Result.m_Faults.front().m_Value == "***");
    }
  }
}

BOOST_AUTO_TEST_CASE(SecretsNeverAppearInOutput) {
  // Each place where an operator may put a secret by mistake.
  const std::vector<Arguments> Mistakes = {{"--cluster_key=" + Key},
                                           {"--cluster_key", Key},
                                           {"--operator_token=" + Token},
                                           {"--RAGWORTMUX_CLUSTER_KEY", Key},
                                           {Key, Token}};
  for (const Arguments &Mistake : Mistakes) {
    const std::string Output =
        describeAll(load(validVariables(), Mistake).m_Faults);
    BOOST_TEST(!Output.empty());
    BOOST_TEST(Output.find(Key) == std::string::npos);
    BOOST_TEST(Output.find(Token) == std::string::npos);
  }
  std::ostringstream Stream;
  Stream << load(validVariables(), {}).m_Settings->m_ClusterKey;
  BOOST_TEST(Stream.str() == "***");
}

BOOST_AUTO_TEST_CASE(SecretMatchesOnlyItself) {
  const Secret Stored(Key);
  BOOST_TEST(Stored.matches(Key));
  for (const std::string &Other :
       {std::string(), Key + "x", Key.substr(1), "K" + Key.substr(1),
        Key.substr(0, Key.size() - 1) + "F", Key + std::string(1, '\0')})
    BOOST_TEST(!Stored.matches(Other));
  BOOST_TEST(!Secret().matches(""));
}

BOOST_AUTO_TEST_SUITE_END()
