#ifndef RAGWORTMUX_REQUEST_RETRYBUDGET_H
#define RAGWORTMUX_REQUEST_RETRYBUDGET_H

#include <cstdint>

namespace ragwortmux {

/// How many retries a RetryBudget allows.
struct RetryBudgetSettings final {
  std::uint32_t m_RetriesPerHundred =
      10;                        ///< Retries that a hundred requests earn.
  std::uint32_t m_MaxSaved = 20; ///< Retries that can be saved up; also what a
                                 ///< new budget holds.
};

/// Limits retries to a share of the requests, so that retries cannot multiply
/// an overload.
class RetryBudget final {
public:
  explicit RetryBudget(const RetryBudgetSettings &Settings);

  /// Counts a first try; earns a fraction of a retry.
  void addRequest();
  /// Takes one retry; false if none is left.
  bool takeRetry();

private:
  RetryBudgetSettings m_Settings; ///< The limits.
  std::uint64_t m_Hundredths;     ///< Retries left, in hundredths.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_RETRYBUDGET_H
