#include "ragwortmux/Process/Control/LogControlLoad.h"

#include "ragwortmux/Process/Control/ControlLoad.h"
#include "ragwortmux/Process/Log/LogAction.h"
#include "ragwortmux/Process/Support/Log.h"

#include <fmt/format.h>

#include <array>
#include <string>
#include <vector>

namespace ragwortmux {

namespace {

std::int64_t toMs(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

std::int64_t toNumber(std::uint64_t Count) {
  return static_cast<std::int64_t>(Count);
}

/// Writes a line with \p Fields and those of \p Load.
void writeLine(const std::string &Sentence, std::vector<LogField> Fields,
               const ControlLoadSummary &Load) {
  const std::array LoadFields = {
      LogField{"tick_gap_ms", toMs(Load.m_LongestTickGap)},
      LogField{"task_ms", toMs(Load.m_LongestTask)},
      LogField{"task", std::string(controlTaskName(Load.m_LongestTaskKind))},
      LogField{"wait_ms", toMs(Load.m_LongestWait)},
      LogField{"sync_ms", toMs(Load.m_LongestSync)},
      LogField{"busy_ms", toMs(Load.m_Busy)},
      LogField{"waiting", toNumber(Load.m_Waiting)},
      LogField{"tasks", toNumber(Load.m_Tasks)},
      LogField{"renewals", toNumber(Load.m_Renewals)},
      LogField{"pushes", toNumber(Load.m_Pushes)}};
  Fields.insert(Fields.end(), LoadFields.begin(), LoadFields.end());
  logRecord(LogLevel::Warn, Part::Control, Sentence, Fields);
}

} // namespace

void logLostLeadership(const LostLeadership &Lost, Instant Now,
                       const ControlLoadSummary &Load) {
  const std::string Sentence =
      fmt::format("No longer the leader of term {}.", Lost.m_Term.value());
  writeLine(Sentence,
            {{"term", toNumber(Lost.m_Term.value())},
             {"reason", std::string(leadershipLossName(Lost.m_Reason))},
             {"since_quorum_ms", toMs(Now - Lost.m_QuorumContactAt)}},
            Load);
}

void logDelayedTask(ControlTaskKind Kind, Duration Wait,
                    const ControlLoadSummary &Load) {
  writeLine("A task of the control node waited long.",
            {{"waited_task", std::string(controlTaskName(Kind))},
             {"waited_ms", toMs(Wait)}},
            Load);
}

} // namespace ragwortmux
