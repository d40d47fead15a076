#include "ragwortmux/Request/RetryBudget.h"

#include <algorithm>

namespace ragwortmux {

namespace {

constexpr std::uint64_t HundredthsPerRetry = 100;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings &Settings)
    : m_Settings(Settings),
      m_Hundredths(Settings.m_MaxSaved * HundredthsPerRetry) {}

void RetryBudget::addRequest() {
  m_Hundredths =
      std::min<std::uint64_t>(m_Hundredths + m_Settings.m_RetriesPerHundred,
                              m_Settings.m_MaxSaved * HundredthsPerRetry);
}

bool RetryBudget::tryConsumeRetry() {
  if (m_Hundredths < HundredthsPerRetry)
    return false;
  m_Hundredths -= HundredthsPerRetry;
  return true;
}

} // namespace ragwortmux
