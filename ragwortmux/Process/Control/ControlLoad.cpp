#include "ragwortmux/Process/Control/ControlLoad.h"

#include "ragwortmux/Process/Control/LogControlLoad.h"
#include "ragwortmux/Process/Support/Metrics.h"

#include <algorithm>
#include <string>

namespace ragwortmux {

void ControlLoad::taskPosted() {
  const std::lock_guard Lock(m_Mutex);
  ++m_Waiting;
}

void ControlLoad::taskStarted(ControlTaskKind Kind, Instant PostedAt,
                              Instant Now) {
  const Duration Wait = Now - PostedAt;
  noteStart(Kind, Wait, Now);
  m_Metrics.observe(Metric::ControlWaitSeconds,
                    {std::string(controlTaskName(Kind))}, Wait);
  if (isWarningDue(Wait, Now)) {
    logDelayedTask(Kind, Wait, summary(Now));
  }
}

void ControlLoad::noteStart(ControlTaskKind Kind, Duration Wait, Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  ControlLoadSummary &Values = slotAt(Now);
  Values.m_LongestWait = std::max(Values.m_LongestWait, Wait);
  ++Values.m_Tasks;
  if (Kind == ControlTaskKind::Renewal) {
    ++Values.m_Renewals;
  }
  if (Kind == ControlTaskKind::Tick) {
    const Duration Gap = Now - m_LastTickAt.value_or(Now);
    Values.m_LongestTickGap = std::max(Values.m_LongestTickGap, Gap);
    m_LastTickAt = Now;
  }
  --m_Waiting;
  m_TaskStartedAt = Now;
  m_TaskKind = Kind;
}

bool ControlLoad::isWarningDue(Duration Wait, Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  if (Wait <= WarningWait || Now - m_LastWarningAt < WarningInterval) {
    return false;
  }
  m_LastWarningAt = Now;
  return true;
}

void ControlLoad::taskEnded(Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  if (!m_TaskStartedAt) {
    return;
  }
  const Duration Length = Now - *m_TaskStartedAt;
  m_TaskStartedAt.reset();
  addTask(slotAt(Now), m_TaskKind, Length);
  m_Metrics.observe(Metric::ControlTaskSeconds,
                    {std::string(controlTaskName(m_TaskKind))}, Length);
}

void ControlLoad::logSynced(Instant Now, Duration Length) {
  const std::lock_guard Lock(m_Mutex);
  ControlLoadSummary &Values = slotAt(Now);
  Values.m_LongestSync = std::max(Values.m_LongestSync, Length);
  m_Metrics.observe(Metric::LogSyncSeconds, {}, Length);
}

void ControlLoad::updatePushed(Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  ++slotAt(Now).m_Pushes;
}

std::size_t ControlLoad::waitingTasks() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Waiting;
}

ControlLoadSummary ControlLoad::summary(Instant Now) const {
  const std::lock_guard Lock(m_Mutex);
  ControlLoadSummary All;
  const std::int64_t Oldest =
      slotNumber(Now) - static_cast<std::int64_t>(SlotCount);
  for (const Slot &Recent : m_Slots) {
    if (Recent.m_Number <= Oldest) {
      continue;
    }
    const ControlLoadSummary &Values = Recent.m_Values;
    All.m_LongestTickGap =
        std::max(All.m_LongestTickGap, Values.m_LongestTickGap);
    if (Values.m_LongestTask > All.m_LongestTask) {
      All.m_LongestTask = Values.m_LongestTask;
      All.m_LongestTaskKind = Values.m_LongestTaskKind;
    }
    All.m_LongestWait = std::max(All.m_LongestWait, Values.m_LongestWait);
    All.m_LongestSync = std::max(All.m_LongestSync, Values.m_LongestSync);
    All.m_Busy += Values.m_Busy;
    All.m_Tasks += Values.m_Tasks;
    All.m_Renewals += Values.m_Renewals;
    All.m_Pushes += Values.m_Pushes;
  }
  if (m_TaskStartedAt) {
    addTask(All, m_TaskKind, Now - *m_TaskStartedAt);
  }
  if (m_LastTickAt) {
    All.m_LongestTickGap = std::max(All.m_LongestTickGap, Now - *m_LastTickAt);
  }
  All.m_Waiting = m_Waiting;
  return All;
}

std::int64_t ControlLoad::slotNumber(Instant Now) {
  return Now.time_since_epoch() / SlotLength;
}

void ControlLoad::addTask(ControlLoadSummary &Values, ControlTaskKind Kind,
                          Duration Length) {
  Values.m_Busy += Length;
  if (Length > Values.m_LongestTask) {
    Values.m_LongestTask = Length;
    Values.m_LongestTaskKind = Kind;
  }
}

ControlLoadSummary &ControlLoad::slotAt(Instant Now) {
  const std::int64_t Number = slotNumber(Now);
  Slot &Found = m_Slots.at(static_cast<std::size_t>(Number) % SlotCount);
  if (Found.m_Number != Number) {
    Found = {Number, {}};
  }
  return Found.m_Values;
}

} // namespace ragwortmux
