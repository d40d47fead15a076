#include "ragwortmux/Process/Loop/LoopWatch.h"

#include "ragwortmux/Process/Support/Log.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace ragwortmux {

namespace {

std::int64_t toMs(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace

std::string_view loopWorkName(LoopWork Work) {
  return Work == LoopWork::Timer ? "timer" : "posted_tasks";
}

LoopWatch::LoopWatch(ThreadTime UsedTime) : m_UsedTime(std::move(UsedTime)) {}

void LoopWatch::started(LoopWork Work, Instant DueAt, Instant Now) {
  m_StartedAt = Now;
  m_Work = Work;
  // A timer may run early by the time since the loop last read its clock.
  const Duration Delay = std::max(Duration(0), Now - DueAt);
  if (m_Observer) {
    m_Observer(Work, Delay);
  }
  if (Delay > WarningDelay) {
    warn(Work, Delay, Now);
  }
  if (Work == LoopWork::Timer) {
    m_LastNotedAt = Now;
    m_LastUsedTime = m_UsedTime();
  }
}

void LoopWatch::ended(Instant Now) {
  const Duration Length = Now - m_StartedAt;
  if (Length > m_LongestRun) {
    m_LongestRun = Length;
    m_LongestRunWork = m_Work;
  }
}

void LoopWatch::warn(LoopWork Work, Duration Delay, Instant Now) {
  ++m_LateRuns;
  if (Now - m_LastWarningAt < WarningInterval) {
    return;
  }
  const std::array Fields = {
      LogField{"work", std::string(loopWorkName(Work))},
      LogField{"delay_ms", toMs(Delay)},
      LogField{"late_runs", static_cast<std::int64_t>(m_LateRuns)},
      LogField{"longest_run", std::string(loopWorkName(m_LongestRunWork))},
      LogField{"longest_run_ms", toMs(m_LongestRun)},
      LogField{"processor_ms", toMs(m_UsedTime() - m_LastUsedTime)},
      LogField{"over_ms", toMs(Now - m_LastNotedAt)}};
  logRecord(LogLevel::Warn, Part::Process, "The event loop is late.", Fields);
  m_LastWarningAt = Now;
  m_LateRuns = 0;
  m_LongestRun = Duration(0);
}

} // namespace ragwortmux
