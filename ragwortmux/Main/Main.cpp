#include "platform/PlatformAdapter.h"
#include "ragwortmux/Core/ClearText.h"
#include "ragwortmux/Process/Daemon.h"
#include "ragwortmux/Process/Operators/OperatorClient.h"
#include "ragwortmux/Process/Operators/SqlClient.h"
#include "ragwortmux/Process/Support/CommandLine.h"
#include "ragwortmux/Process/Support/Commands.h"
#include "ragwortmux/Process/Support/KeyText.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/LogExplainer.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"
#include "ragwortmux/Process/Support/TimelineMerger.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace ragwortmux;

int failWith(const std::vector<SettingFault> &Faults) {
  std::cerr << describeAll(Faults);
  return ExitBadArgument;
}

int run(const HelpCommand &Command) {
  std::cout << Command.m_Text;
  return 0;
}

int run(const VersionCommand &) {
  std::cout << "ragwortmux " << ProductVersion << "\n";
  return 0;
}

int run(const ServeCommand &Command) {
  std::vector<SettingFault> Faults;
  auto Settings =
      loadSettings(Command.m_Arguments, processEnvironment(), Faults);
  if (!Settings) {
    return failWith(Faults);
  }
  startLog({Settings->m_LogLevel, Settings->m_LogFormat, nullptr,
            Settings->m_LogDescriptor, Settings->m_LogLinesPerSecond});
  return Daemon(std::move(*Settings), platform::makePlatformAdapter).run();
}

int run(const CheckSettingsCommand &Command) {
  std::vector<SettingFault> Faults;
  if (!loadSettings(Command.m_Arguments, processEnvironment(), Faults)) {
    return failWith(Faults);
  }
  std::cout << "the settings are valid\n";
  return 0;
}

int run(const TimelineCommand &Command) {
  TimelineMerger Merger(Command.m_Filter);
  bool AreAllRead = true;
  for (const auto &Path : Command.m_Paths) {
    if (!Merger.add(Path)) {
      std::cerr << "cannot read " << Path.string() << "\n";
      AreAllRead = false;
    }
  }
  for (const TimelineEvent &Event : Merger.merge()) {
    std::cout << formatTimelineText(Event) << "\n";
  }
  return AreAllRead ? 0 : 1;
}

int run(const ExplainCommand &Command) {
  LogExplainer Explainer(Command.m_Id);
  for (const auto &Path : Command.m_Paths) {
    std::ifstream Lines(Path);
    if (!Lines) {
      std::cerr << "cannot read " << Path.string() << "\n";
      return 1;
    }
    Explainer.add(Lines, Path.filename().string());
  }
  const auto Explanation = Explainer.explain();
  for (const std::string &Line : Explanation) {
    std::cout << Line << "\n";
  }
  return Explanation.empty() ? 1 : 0;
}

int run(const SqlCommand &Command) { return runSql(Command); }

/// Calls an entry host with the operator's token.
template <typename OperatorCommand>
int runAsOperator(const OperatorCommand &Command) {
  const auto Token = processEnvironment()("RAGWORTMUX_OPERATOR_TOKEN");
  if (!Token || !Secret::isAllowed(*Token)) {
    return failWith({{ResultCode::BadSetting, "RAGWORTMUX_OPERATOR_TOKEN",
                      Token ? "***" : "", "the operator's token"}});
  }
  const Secret OperatorToken(*Token);
  return OperatorClient(OperatorToken).run(Command);
}

/// Reads the keys from \p Source; none, with \p Reason set, if that fails.
std::optional<std::vector<KeyDigest>> readKeysFrom(const KeySource &Source,
                                                   std::string &Reason) {
  if (Source.m_Variable.empty()) {
    return readKeys(std::cin, Reason);
  }
  auto Text = processEnvironment()(Source.m_Variable);
  if (!Text) {
    Reason = "the variable is not set";
    return std::nullopt;
  }
  std::istringstream Lines(*Text);
  clearText(*Text);
  return readKeys(Lines, Reason);
}

int run(const WorkspaceCommand &Given) {
  WorkspaceCommand Command = Given;
  if (!Command.m_KeySource.m_IsGiven) {
    return runAsOperator(Command);
  }
  std::string Reason;
  auto Keys = readKeysFrom(Command.m_KeySource, Reason);
  const bool TakesMany = Command.m_Edit.m_Action == WorkspaceAction::Put;
  if (Keys && Keys->size() > 1 && !TakesMany) {
    Reason = "there are several keys";
    Keys.reset();
  }
  if (!Keys) {
    return failWith({{ResultCode::BadArgument, "key", "(not shown)",
                      Reason + "; allowed: " + AllowedCallerKey}});
  }
  if (Command.m_Edit.m_Action == WorkspaceAction::RemoveKey) {
    Command.m_Edit.m_KeyDigest = formatDigest(Keys->front());
  } else {
    Command.m_Edit.m_Keys = std::move(*Keys);
  }
  return runAsOperator(Command);
}

/// Commands that call an entry host.
template <typename OperatorCommand> int run(const OperatorCommand &Command) {
  return runAsOperator(Command);
}

} // namespace

int main(int Count, char **Values) {
  const std::vector<std::string> Arguments(Values + 1, Values + Count);
  std::vector<SettingFault> Faults;
  const auto Command = parseCommandLine(Arguments, Faults);
  if (!Command) {
    return failWith(Faults);
  }
  return std::visit([](const auto &Selected) { return run(Selected); },
                    *Command);
}
