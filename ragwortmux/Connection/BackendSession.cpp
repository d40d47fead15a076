#include "ragwortmux/Connection/BackendSession.h"

#include <algorithm>

namespace ragwortmux {

namespace {

/// Number of prepared statements at which a connection's state is discarded
/// before another one is prepared.
constexpr std::size_t MaxPrepared = 256;

} // namespace

SessionPlan BackendSession::plan(const SessionState &Target,
                                 const PreparedStatement *Required) {
  SessionPlan Plan;
  const bool IsFull = Required != nullptr && m_Prepared.size() >= MaxPrepared &&
                      !m_Prepared.contains(Required->m_Definition);
  if (hasExtraValues(Target) || IsFull) {
    // A single value cannot be unset, so the whole state is discarded.
    Plan.m_Steps.push_back({SessionStep::Kind::Discard, "", ""});
    m_Values.clear();
    m_Prepared.clear();
  }
  for (const auto &[Name, Value] : Target.m_Values) {
    const auto Known = m_Values.find(Name);
    if (Known != m_Values.end() && Known->second == Value)
      continue;
    m_Values[Name] = Value;
    Plan.m_Steps.push_back({SessionStep::Kind::SetValue, Name, Value});
  }
  if (Required == nullptr)
    return Plan;
  const auto [Known, IsNew] = m_Prepared.try_emplace(Required->m_Definition);
  if (IsNew) {
    Known->second = "p" + std::to_string(++m_LastName);
    Plan.m_Prepare = SessionStep{SessionStep::Kind::Prepare, Known->second,
                                 Required->m_Definition};
  }
  Plan.m_PreparedName = Known->second;
  return Plan;
}

std::size_t BackendSession::stepCount(const SessionState &Target,
                                      const PreparedStatement *Required) const {
  if (hasExtraValues(Target))
    return 1 + Target.m_Values.size() + (Required == nullptr ? 0 : 1);
  const bool IsMissing =
      Required != nullptr && !m_Prepared.contains(Required->m_Definition);
  return missingValueCount(Target) + (IsMissing ? 1 : 0);
}

bool BackendSession::hasExtraValues(const SessionState &Target) const {
  return std::any_of(m_Values.begin(), m_Values.end(),
                     [&](const auto &Current) {
                       return !Target.m_Values.contains(Current.first);
                     });
}

std::size_t
BackendSession::missingValueCount(const SessionState &Target) const {
  return static_cast<std::size_t>(std::count_if(
      Target.m_Values.begin(), Target.m_Values.end(), [&](const auto &Value) {
        const auto Current = m_Values.find(Value.first);
        return Current == m_Values.end() || Current->second != Value.second;
      }));
}

} // namespace ragwortmux
