#include "ragwortmux/Connection/CallerBudget.h"

#include <algorithm>

namespace ragwortmux {

CallerBudget::CallerBudget(CallerBudgetSettings Settings)
    : m_Settings(Settings) {}

void CallerBudget::add(CallerConnectionId Id, Instant Now) {
  Caller Added;
  Added.m_AddedAt = Now;
  Added.m_MessageSince = Now;
  Added.m_OutputSince = Now;
  if (m_Callers.emplace(Id, Added).second) {
    ++m_Starting;
  }
}

void CallerBudget::remove(CallerConnectionId Id, Instant Now) {
  const auto Found = m_Callers.find(Id);
  if (Found == m_Callers.end()) {
    return;
  }
  count(Found->second.m_Usage, false);
  m_Starting -= Found->second.m_Usage.m_HasStarted ? 0 : 1;
  m_Waiting.erase(Id);
  m_Callers.erase(Found);
  if (m_Completing == Id) {
    m_Completing.reset();
  }
  updatePressure(Now);
}

void CallerBudget::update(CallerConnectionId Id, const CallerUsage &Usage,
                          Instant Now) {
  const auto Found = m_Callers.find(Id);
  if (Found == m_Callers.end()) {
    return;
  }
  Caller &Current = Found->second;
  const CallerUsage Before = Current.m_Usage;
  // The time of a message counts from its first byte, not from the last one, so
  // that a slow sender does not extend it; that of the startup counts from the
  // connection.
  const bool IsNextMessage = !Before.m_HasPartialMessage ||
                             Before.m_MessagesRead != Usage.m_MessagesRead;
  if (Usage.m_HasStarted && IsNextMessage) {
    Current.m_MessageSince = Now;
  }
  if (Before.m_OutputBytes == 0 || Before.m_WritesDone != Usage.m_WritesDone) {
    Current.m_OutputSince = Now;
  }
  if (Usage.m_HasStarted && !Before.m_HasStarted) {
    --m_Starting;
  }
  count(Before, false);
  Current.m_Usage = Usage;
  count(Usage, true);
  const bool HasCompleted = !Usage.m_HasPartialMessage ||
                            Before.m_MessagesRead != Usage.m_MessagesRead;
  if (m_Completing == Id && HasCompleted) {
    m_Completing.reset();
  }
  updatePressure(Now);
}

void CallerBudget::updatePressure(Instant Now) {
  if (!isUnderPressure()) {
    m_PressureSince.reset();
  } else if (!m_PressureSince) {
    m_PressureSince = Now;
  }
}

std::optional<CallerLimit> CallerBudget::mayRead(CallerConnectionId Id,
                                                 Instant Now) {
  const auto Found = m_Callers.find(Id);
  if (Found == m_Callers.end()) {
    return std::nullopt;
  }
  const auto Limit = decideRead(Id, Found->second, Now);
  if (Limit) {
    m_Waiting.insert(Id);
  } else {
    m_Waiting.erase(Id);
  }
  return Limit;
}

std::vector<CallerConnectionId> CallerBudget::takeReadable(Instant Now) {
  std::vector<CallerConnectionId> Readable;
  for (const CallerConnectionId Id : m_Waiting) {
    if (!decideRead(Id, m_Callers.at(Id), Now)) {
      Readable.push_back(Id);
    }
  }
  for (const CallerConnectionId Id : Readable) {
    m_Waiting.erase(Id);
  }
  return Readable;
}

std::optional<CallerLimit>
CallerBudget::decideRead(CallerConnectionId Id, Caller &Current, Instant Now) {
  auto Limit = findLimit(Current);
  // At the whole budget no message may be completed: the statements that run
  // hold their bytes, and would exceed the budget one after the other.
  const bool IsShared = (Limit == CallerLimit::ProcessBytes ||
                         Limit == CallerLimit::WorkspaceBytes) &&
                        m_Bytes < m_Settings.m_ProcessBytes;
  if (IsShared && Current.m_Usage.m_HasPartialMessage &&
      m_Completing.value_or(Id) == Id) {
    m_Completing = Id;
    Limit.reset();
  }
  if (!Limit && Current.m_IsWaiting) {
    // The caller could not send while it was not read from.
    Current.m_MessageSince = Now;
  }
  Current.m_IsWaiting = Limit.has_value();
  return Limit;
}

std::vector<CallerToClose> CallerBudget::takeExpired(Instant Now) {
  std::vector<CallerToClose> Expired;
  for (const auto &[Id, Current] : m_Callers) {
    const CallerUsage &Usage = Current.m_Usage;
    const bool IsMessageLate =
        (Usage.m_HasPartialMessage || !Usage.m_HasStarted) &&
        !Current.m_IsWaiting &&
        Now - Current.m_MessageSince > m_Settings.m_MessageTimeout;
    const bool IsAnswerLate =
        Usage.m_OutputBytes > 0 &&
        Now - Current.m_OutputSince > m_Settings.m_AnswerTimeout;
    if (IsMessageLate || IsAnswerLate) {
      Expired.push_back(
          {Id,
           IsMessageLate ? CallerLimit::MessageTime : CallerLimit::AnswerTime,
           Usage.bytes()});
    }
  }
  expireStarting(Now, Expired);
  expireLargest(Now, Expired);
  return Expired;
}

/// Adds the callers that have waited longest of those above m_MaxStarting.
void CallerBudget::expireStarting(Instant Now,
                                  std::vector<CallerToClose> &Expired) const {
  if (m_Starting <= m_Settings.m_MaxStarting) {
    return;
  }
  // Ids ascend with the time of connecting.
  std::size_t Excess = m_Starting - m_Settings.m_MaxStarting;
  for (const auto &[Id, Current] : m_Callers) {
    if (Excess == 0 || Now - Current.m_AddedAt < StartingGrace) {
      break;
    }
    if (!Current.m_Usage.m_HasStarted) {
      --Excess;
      Expired.push_back({Id, CallerLimit::Starting, Current.m_Usage.bytes()});
    }
  }
}

/// Adds the callers that hold most, until the others cause no pressure.
void CallerBudget::expireLargest(Instant Now,
                                 std::vector<CallerToClose> &Expired) {
  if (!m_PressureSince || Now - *m_PressureSince < m_Settings.m_Grace) {
    return;
  }
  std::vector<CallerToClose> Largest;
  for (const auto &[Id, Current] : m_Callers) {
    if (Current.m_Usage.bytes() > 0) {
      Largest.push_back(
          {Id, CallerLimit::LargestClosed, Current.m_Usage.bytes()});
    }
  }
  std::ranges::sort(Largest, std::greater(), &CallerToClose::m_Bytes);
  const std::size_t Allowed = m_Settings.m_ProcessBytes / 100 * PressurePercent;
  std::size_t Left = m_Bytes;
  for (const CallerToClose &Candidate : Largest) {
    if (Left < Allowed) {
      break;
    }
    Left -= Candidate.m_Bytes;
    Expired.push_back(Candidate);
  }
}

bool CallerBudget::isUnderPressure() const {
  return m_Bytes >= m_Settings.m_ProcessBytes / 100 * PressurePercent;
}

std::optional<CallerLimit>
CallerBudget::findLimit(const Caller &Current) const {
  const CallerUsage &Usage = Current.m_Usage;
  if (Usage.bytes() >= m_Settings.m_ConnectionBytes) {
    return CallerLimit::ConnectionBytes;
  }
  if (Usage.m_Statements >= m_Settings.m_MaxPipelined) {
    return CallerLimit::Pipelined;
  }
  const bool IsSmall = Usage.bytes() <= SmallCallerBytes;
  if (m_Bytes >= m_Settings.m_ProcessBytes || (isUnderPressure() && !IsSmall)) {
    return CallerLimit::ProcessBytes;
  }
  const auto Workspace = m_WorkspaceBytes.find(Usage.m_Workspace);
  if (Workspace != m_WorkspaceBytes.end() &&
      Workspace->second >= m_Settings.m_WorkspaceBytes && !IsSmall) {
    return CallerLimit::WorkspaceBytes;
  }
  return std::nullopt;
}

/// Adds \p Usage to the sums, or removes it from them.
void CallerBudget::count(const CallerUsage &Usage, bool IsAdded) {
  const std::size_t Bytes = Usage.bytes();
  m_Bytes = IsAdded ? m_Bytes + Bytes : m_Bytes - Bytes;
  if (Usage.m_Workspace == WorkspaceId() || Bytes == 0) {
    return;
  }
  std::size_t &Held = m_WorkspaceBytes[Usage.m_Workspace];
  Held = IsAdded ? Held + Bytes : Held - Bytes;
  if (Held == 0) {
    m_WorkspaceBytes.erase(Usage.m_Workspace);
  }
}

} // namespace ragwortmux
