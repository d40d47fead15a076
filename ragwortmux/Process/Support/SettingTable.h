#ifndef RAGWORTMUX_PROCESS_SUPPORT_SETTINGTABLE_H
#define RAGWORTMUX_PROCESS_SUPPORT_SETTINGTABLE_H

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace ragwortmux {

struct ProcessSettings;

/// One setting of `ragwortmux serve`: the flag, the environment variable, the
/// check, the help text and the row of docs/CONFIGURATION.md come from it.
struct SettingInfo final {
  /// Checks a text and stores it; false if the text is not allowed.
  using Store = std::function<bool(ProcessSettings &, std::string_view)>;

  const char *m_Name = "";    ///< Name of the flag in snake_case.
  const char *m_Default = ""; ///< Text of the default; empty for none.
  std::string m_Allowed;      ///< Description of the allowed values.
  const char *m_Meaning = ""; ///< One sentence for the help.
  Store m_Store;              ///< Checks and stores a value.
  bool m_IsSwitch = false;    ///< `--name` alone means true.
  bool m_IsRequired = false;  ///< Has no default and must be given.
};

/// A secret, which is read only from the environment.
struct SecretInfo final {
  const char *m_Variable = ""; ///< Name of the environment variable.
  const char *m_Meaning = "";  ///< One sentence for the help.
};

/// Description of the allowed secrets.
std::string allowedSecret();

/// All settings, in the order of help and docs.
std::span<const SettingInfo> allSettings();

/// The environment variable of the cluster key.
inline constexpr SecretInfo ClusterKeyInfo = {
    "RAGWORTMUX_CLUSTER_KEY",
    "Key by which the processes of a cluster know each other."};

/// The environment variable of the operator token.
inline constexpr SecretInfo OperatorTokenInfo = {
    "RAGWORTMUX_OPERATOR_TOKEN",
    "Token that operator commands present to an entry host."};

/// The environment variable of setting \p Name.
std::string environmentName(std::string_view Name);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_SETTINGTABLE_H
