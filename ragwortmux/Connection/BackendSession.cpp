#include "ragwortmux/Connection/BackendSession.h"

#include <algorithm>

namespace ragwortmux {

namespace {

/// Number of prepared statements at which a connection's state is discarded
/// before another one is prepared.
constexpr std::size_t MaxPrepared = 256;

} // namespace

ReplayPlan BackendSession::plan(const SessionState &Wanted,
                                const PreparedStatement *Needed) {
  ReplayPlan Plan;
  const bool IsFull = Needed != nullptr && m_Prepared.size() >= MaxPrepared &&
                      !m_Prepared.contains(Needed->m_Definition);
  if (holdsOthers(Wanted) || IsFull) {
    // A single value cannot be unset, so the whole state is discarded.
    Plan.m_Steps.push_back({ReplayStep::Kind::Discard, "", ""});
    m_Values.clear();
    m_Prepared.clear();
  }
  for (const auto &[Name, Value] : Wanted.m_Values) {
    const auto Known = m_Values.find(Name);
    if (Known != m_Values.end() && Known->second == Value)
      continue;
    m_Values[Name] = Value;
    Plan.m_Steps.push_back({ReplayStep::Kind::SetValue, Name, Value});
  }
  if (Needed == nullptr)
    return Plan;
  const auto [Known, IsNew] = m_Prepared.try_emplace(Needed->m_Definition);
  if (IsNew) {
    Known->second = "p" + std::to_string(++m_LastName);
    Plan.m_Steps.push_back(
        {ReplayStep::Kind::Prepare, Known->second, Needed->m_Definition});
  }
  Plan.m_PreparedName = Known->second;
  return Plan;
}

std::size_t BackendSession::distance(const SessionState &Wanted,
                                     const PreparedStatement *Needed) const {
  if (holdsOthers(Wanted))
    return 1 + Wanted.m_Values.size() + (Needed == nullptr ? 0 : 1);
  const bool IsMissing =
      Needed != nullptr && !m_Prepared.contains(Needed->m_Definition);
  return countMissing(Wanted) + (IsMissing ? 1 : 0);
}

bool BackendSession::holdsOthers(const SessionState &Wanted) const {
  return std::any_of(m_Values.begin(), m_Values.end(), [&](const auto &Held) {
    return !Wanted.m_Values.contains(Held.first);
  });
}

std::size_t BackendSession::countMissing(const SessionState &Wanted) const {
  return static_cast<std::size_t>(std::count_if(
      Wanted.m_Values.begin(), Wanted.m_Values.end(), [&](const auto &Value) {
        const auto Held = m_Values.find(Value.first);
        return Held == m_Values.end() || Held->second != Value.second;
      }));
}

} // namespace ragwortmux
