#ifndef RAGWORTMUX_REQUEST_RETRYBUDGET_H
#define RAGWORTMUX_REQUEST_RETRYBUDGET_H

#include <cstdint>

namespace ragwortmux {

/// Limits of a RetryBudget.
struct RetryBudgetSettings final {
  std::uint32_t m_RetriesPerHundred =
      10; ///< Retries earned by a hundred requests.
  std::uint32_t m_MaxSaved =
      20; ///< Maximum number of saved retries; also the initial number.
};

/// Limits retries to a share of the requests, so that retries cannot multiply
/// an overload.
class RetryBudget final {
public:
  explicit RetryBudget(const RetryBudgetSettings &Settings);

  /// Counts a request, which earns a fraction of a retry.
  void addRequest();
  /// Consumes one retry; false if none is left.
  bool tryConsumeRetry();

private:
  RetryBudgetSettings m_Settings; ///< Limits of the budget.
  std::uint64_t m_Hundredths;     ///< Retries left, in hundredths.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_RETRYBUDGET_H
