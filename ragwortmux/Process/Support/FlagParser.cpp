#include "ragwortmux/Process/Support/FlagParser.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <deque>
#include <iterator>
#include <mutex>
#include <string_view>

namespace ragwortmux {

namespace {

/// The storage that gflags refers to for one flag.
struct FlagStorage final {
  std::string m_Current; ///< Written by gflags when it parses.
  std::string m_Default; ///< Always empty; gflags applies no defaults.
};

/// Registers each of \p Known with gflags unless an earlier call did.
void registerFlags(std::span<const FlagInfo> Known) {
  static std::deque<FlagStorage> Storage;
  for (const FlagInfo &Flag : Known) {
    gflags::CommandLineFlagInfo Existing;
    if (gflags::GetCommandLineFlagInfo(Flag.m_Name, &Existing))
      continue;
    FlagStorage &Slot = Storage.emplace_back();
    gflags::FlagRegisterer(Flag.m_Name, Flag.m_Help, __FILE__, &Slot.m_Current,
                           &Slot.m_Default);
  }
}

/// Splits raw arguments into flags that gflags can parse and positional
/// arguments.
class ArgumentSplitter final {
public:
  ArgumentSplitter(std::span<const FlagInfo> Known, ResultCode Code,
                   std::vector<SettingFault> &Faults)
      : m_Known(Known), m_Code(Code), m_Faults(Faults) {}

  /// Splits all \p Arguments.
  void sort(std::span<const std::string> Arguments) {
    for (std::size_t Index = 0; Index < Arguments.size(); ++Index) {
      const std::string &Argument = Arguments[Index];
      if (Argument == "--") {
        std::ranges::copy(Arguments.subspan(Index + 1),
                          std::back_inserter(m_Positional));
        return;
      }
      if (!Argument.starts_with("--")) {
        m_Positional.push_back(Argument);
        continue;
      }
      const bool HasNext = Index + 1 < Arguments.size();
      if (parseFlag(Argument, HasNext ? &Arguments[Index + 1] : nullptr))
        ++Index;
    }
  }

  std::vector<std::string> m_Normalized; ///< Flags as `--name=value`.
  std::vector<std::string> m_Positional; ///< Arguments that are not flags.

private:
  /// Normalizes one flag; true if \p Next was used as its value.
  bool parseFlag(const std::string &Argument, const std::string *Next) {
    const std::size_t Equals = Argument.find('=');
    const std::string Name = Argument.substr(2, Equals - 2);
    const auto Found = std::ranges::find_if(
        m_Known, [&](const FlagInfo &Flag) { return Name == Flag.m_Name; });
    if (Found == m_Known.end()) {
      m_Faults.push_back({m_Code, "--" + Name, "(not shown)",
                          "one of the flags that --help lists"});
      return false;
    }
    if (Equals != std::string::npos) {
      m_Normalized.push_back(Argument);
      return false;
    }
    if (Found->m_IsSwitch) {
      m_Normalized.push_back(Argument + "=true");
      return false;
    }
    if (Next == nullptr || Next->starts_with("--")) {
      m_Faults.push_back({m_Code, "--" + Name, "", "a value after the flag"});
      return false;
    }
    m_Normalized.push_back(Argument + "=" + *Next);
    return true;
  }

  std::span<const FlagInfo> m_Known;   ///< The flags of the command.
  ResultCode m_Code;                   ///< The code of every fault.
  std::vector<SettingFault> &m_Faults; ///< Where faults are added.
};

} // namespace

std::optional<std::string> ParsedFlags::value(const std::string &Name) const {
  const auto Found = m_Values.find(Name);
  if (Found == m_Values.end())
    return std::nullopt;
  return Found->second;
}

ParsedFlags parseFlags(std::span<const FlagInfo> Known,
                       std::span<const std::string> Arguments, ResultCode Code,
                       std::vector<SettingFault> &Faults) {
  // gflags exits the process on a flag that it cannot parse, so only flags that
  // it can parse are passed to it.
  ArgumentSplitter Sorter(Known, Code, Faults);
  Sorter.sort(Arguments);

  // gflags stores its flags in globals; FlagSaver restores them before this
  // function returns.
  static std::mutex Guard;
  const std::lock_guard Lock(Guard);
  registerFlags(Known);
  const gflags::FlagSaver Saver;
  std::string Program = "ragwortmux";
  std::vector<char *> Raw = {Program.data()};
  for (std::string &Flag : Sorter.m_Normalized)
    Raw.push_back(Flag.data());
  Raw.push_back(nullptr);
  int Count = static_cast<int>(Raw.size()) - 1;
  char **Values = Raw.data();
  gflags::ParseCommandLineNonHelpFlags(&Count, &Values, false);

  ParsedFlags Result;
  Result.m_Positional = std::move(Sorter.m_Positional);
  for (const FlagInfo &Flag : Known) {
    gflags::CommandLineFlagInfo Info;
    if (!gflags::GetCommandLineFlagInfo(Flag.m_Name, &Info) || Info.is_default)
      continue;
    Result.m_Values.emplace(Flag.m_Name, Info.current_value);
  }
  return Result;
}

} // namespace ragwortmux
