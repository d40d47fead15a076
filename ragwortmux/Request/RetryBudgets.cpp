#include "ragwortmux/Request/RetryBudgets.h"

namespace ragwortmux {

RetryBudget &RetryBudgets::budget(const WorkspaceId &Workspace,
                                  const ServerId &Server) {
  const Key Of(Workspace, Server);
  const auto Found = m_Budgets.find(Of);
  if (Found != m_Budgets.end()) {
    m_Recent.splice(m_Recent.begin(), m_Recent, Found->second.m_At);
    return Found->second.m_Left;
  }
  if (m_Budgets.size() >= MaxBudgets) {
    m_Budgets.erase(m_Recent.back());
    m_Recent.pop_back();
  }
  m_Recent.push_front(Of);
  const bool IsOpen = Workspace == WorkspaceId();
  const Budget New{RetryBudget(IsOpen ? m_Open : m_ForWorkspace),
                   m_Recent.begin()};
  return m_Budgets.emplace(Of, New).first->second.m_Left;
}

void RetryBudgets::addRequest(const WorkspaceId &Workspace,
                              const ServerId &Server) {
  budget(Workspace, Server).addRequest();
}

bool RetryBudgets::tryConsumeRetry(const WorkspaceId &Workspace,
                                   const ServerId &Server) {
  return budget(Workspace, Server).tryConsumeRetry();
}

} // namespace ragwortmux
