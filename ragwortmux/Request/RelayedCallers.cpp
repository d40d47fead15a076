#include "ragwortmux/Request/RelayedCallers.h"

namespace ragwortmux {

SessionRequest RelayedCallers::accept(RelayPeerId Peer, SessionRequest Request,
                                      Respond Reply) {
  const Origin From(Peer, Request.m_Caller);
  const auto [Caller, IsNew] = m_Callers.try_emplace(From);
  if (IsNew)
    Caller->second = CallerConnectionId(++m_LastId);
  const RequestId OwnId(++m_LastId);
  m_Unanswered[OwnId] = {From, Request.m_Id, std::move(Reply)};
  Request.m_Id = OwnId;
  Request.m_Caller = Caller->second;
  return Request;
}

bool RelayedCallers::answer(const SessionAnswer &Response) {
  if (Response.m_Caller.value() <= FirstId)
    return false;
  const auto Found = m_Unanswered.find(Response.m_Request);
  if (Found == m_Unanswered.end())
    return true;
  const Unanswered Answered = std::move(Found->second);
  m_Unanswered.erase(Found);
  if (Response.m_Status == TransactionStatus::Idle)
    m_Callers.erase(Answered.m_Origin);
  SessionAnswer Answer = Response;
  Answer.m_Request = Answered.m_OriginalId;
  Answer.m_Caller = Answered.m_Origin.second;
  Answered.m_Reply(std::move(Answer));
  return true;
}

std::optional<CallerConnectionId>
RelayedCallers::callerDisconnected(RelayPeerId Peer,
                                   CallerConnectionId Caller) {
  const Origin From(Peer, Caller);
  const auto Found = m_Callers.find(From);
  if (Found == m_Callers.end())
    return std::nullopt;
  const CallerConnectionId OwnId = Found->second;
  forget(From);
  return OwnId;
}

std::vector<CallerConnectionId> RelayedCallers::peerClosed(RelayPeerId Peer) {
  std::vector<Origin> Closed;
  std::vector<CallerConnectionId> OwnIds;
  for (const auto &[From, OwnId] : m_Callers) {
    if (From.first != Peer)
      continue;
    Closed.push_back(From);
    OwnIds.push_back(OwnId);
  }
  for (const Origin &From : Closed)
    forget(From);
  return OwnIds;
}

void RelayedCallers::forget(const Origin &From) {
  m_Callers.erase(From);
  std::vector<Unanswered> Forgotten;
  std::erase_if(m_Unanswered, [&](auto &Each) {
    if (Each.second.m_Origin != From)
      return false;
    Forgotten.push_back(std::move(Each.second));
    return true;
  });
  for (const Unanswered &Each : Forgotten) {
    SessionAnswer Answer;
    Answer.m_Request = Each.m_OriginalId;
    Answer.m_Caller = From.second;
    Answer.m_Code = ResultCode::OutcomeUnknown;
    Each.m_Reply(std::move(Answer));
  }
}

} // namespace ragwortmux
