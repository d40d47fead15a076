#ifndef RAGWORTMUX_REQUEST_RETRYBUDGETS_H
#define RAGWORTMUX_REQUEST_RETRYBUDGETS_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Request/RetryBudget.h"

#include <cstddef>
#include <list>
#include <map>
#include <utility>

namespace ragwortmux {

/// Retry budgets by workspace and server.
///
/// Load pattern: a server fails part of the requests or loses answers, for all
/// workspaces or for one. With one budget for all, the workspace with the most
/// failures would use up the retries of the others. Statements sent to a server
/// earn retries after a failure of that server only, so that the retries are a
/// fixed share of its load.
class RetryBudgets final {
public:
  /// Limits of the budgets without a workspace and of those with one.
  RetryBudgets(const RetryBudgetSettings &Open,
               const RetryBudgetSettings &ForWorkspace)
      : m_Open(Open), m_ForWorkspace(ForWorkspace) {}

  /// Counts a statement that is sent for the first time.
  void addRequest(const WorkspaceId &Workspace, const ServerId &Server);
  /// Consumes one retry after a failure of \p Server; false if none is left.
  bool tryConsumeRetry(const WorkspaceId &Workspace, const ServerId &Server);

private:
  using Key = std::pair<WorkspaceId, ServerId>;
  struct Budget final {
    RetryBudget m_Left;            ///< The budget.
    std::list<Key>::iterator m_At; ///< Its place in m_Recent.
  };
  /// Limit of budgets kept. A budget that is dropped starts again with the
  /// saved retries, so there are more than pairs in use on one host.
  static constexpr std::size_t MaxBudgets = 4096;

  RetryBudget &budget(const WorkspaceId &Workspace, const ServerId &Server);

  RetryBudgetSettings m_Open; ///< Limits of a budget without a workspace.
  RetryBudgetSettings m_ForWorkspace; ///< Limits of one with a workspace.
  std::map<Key, Budget> m_Budgets;    ///< By workspace and server.
  std::list<Key> m_Recent;            ///< Keys, the last used first.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_RETRYBUDGETS_H
