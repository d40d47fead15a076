#include "ragwortmux/Process/Control/LogLostLeadership.h"

#include "ragwortmux/Process/Control/ControlLoad.h"
#include "ragwortmux/Process/Log/LogAction.h"
#include "ragwortmux/Process/Support/Log.h"

#include <fmt/format.h>

#include <array>
#include <string>

namespace ragwortmux {

namespace {

std::int64_t toMs(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

std::int64_t toNumber(std::uint64_t Count) {
  return static_cast<std::int64_t>(Count);
}

} // namespace

void logLostLeadership(const LostLeadership &Lost, Instant Now,
                       const ControlLoadSummary &Load) {
  const std::array Fields = {
      LogField{"term", toNumber(Lost.m_Term.value())},
      LogField{"reason", std::string(leadershipLossName(Lost.m_Reason))},
      LogField{"since_quorum_ms", toMs(Now - Lost.m_QuorumContactAt)},
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
  const std::string Sentence =
      fmt::format("No longer the leader of term {}.", Lost.m_Term.value());
  logRecord(LogLevel::Warn, Part::Control, Sentence, Fields);
}

} // namespace ragwortmux
