#include "ragwortmux/Version/BackendCalls.h"

#include "ragwortmux/Version/GroupRecord.h"
#include "ragwortmux/Version/LeaderContext.h"

namespace ragwortmux {

void BackendCalls::reset() {
  // Call ids are not reused, so that late results from an earlier leadership
  // are ignored.
  m_Targets.clear();
  m_Running.clear();
}

void BackendCalls::start(BackendCallKind Kind, const GroupId &Group,
                         const ServerRecord &Server, Term CurrentTerm,
                         Instant Now, const ServerRecord *Primary) {
  const Target Key{Group, Server.m_Server, Kind};
  Status &Current = m_Targets[Key];
  if (!canStart(Current, CurrentTerm, Now))
    return;
  m_Running.erase(Current.m_Running);
  Current.m_Running = ++m_LastCall;
  Current.m_Term = CurrentTerm;
  Current.m_StartedAt = Now;
  m_Running.emplace(Current.m_Running, Key);

  CallBackend Action;
  Action.m_Call = Current.m_Running;
  Action.m_Group = Group;
  Action.m_Server = Server.m_Server;
  Action.m_Address = Server.m_Address;
  Action.m_Port = Server.m_Port;
  Action.m_Kind = Kind;
  Action.m_Term = CurrentTerm;
  Action.m_Timeout = m_Context.settings().m_CallTimeout;
  if (Primary != nullptr) {
    Action.m_PrimaryAddress = Primary->m_Address;
    Action.m_PrimaryPort = Primary->m_Port;
  }
  m_Context.addAction(std::move(Action));
}

bool BackendCalls::canStart(const Status &Current, Term CurrentTerm,
                            Instant Now) const {
  // A call of another term does not delay one of the current term.
  if (Current.m_Term != CurrentTerm)
    return true;
  if (Current.m_Running != 0)
    return Now - Current.m_StartedAt >= m_Context.settings().m_CallTimeout;
  return !Current.m_Failed ||
         Now - Current.m_FailedAt >= m_Context.settings().m_CallRetry;
}

std::optional<BackendCalls::Call>
BackendCalls::complete(const BackendCallResult &Result, Instant Now) {
  const auto Running = m_Running.find(Result.m_Call);
  if (Running == m_Running.end())
    return std::nullopt;
  const Target Key = Running->second;
  m_Running.erase(Running);
  Status &Current = m_Targets[Key];
  Current.m_Running = 0;
  Current.m_Failed = !Result.m_Ok;
  Current.m_FailedAt = Now;
  return Call{Key.m_Group,    Key.m_Server,  Key.m_Kind,
              Current.m_Term, Result.m_Call, Current.m_StartedAt};
}

} // namespace ragwortmux
