#include "ragwortmux/Request/CallerSession.h"

#include "ragwortmux/Request/SessionEvents.h"

namespace ragwortmux {

std::optional<ResultCode> CallerSession::answerLocally(Statement &Submitted) {
  const std::optional<ResultCode> Result = localResult(Submitted);
  if (!Result)
    m_MayCommit =
        Submitted.m_Writes || Submitted.m_Kind == StatementKind::Commit;
  return Result;
}

std::optional<ResultCode> CallerSession::localResult(Statement &Submitted) {
  const bool Ends = Submitted.m_Kind == StatementKind::Commit ||
                    Submitted.m_Kind == StatementKind::Rollback;
  if (m_Status == TransactionStatus::Failed && !Ends)
    return ResultCode::NotRunBadRequest;
  switch (Submitted.m_Kind) {
  case StatementKind::SetValue:
    if (const auto Old = m_State->m_Values.find(Submitted.m_Name);
        Old != m_State->m_Values.end()) {
      m_StateBytes -= Old->first.size() + Old->second.size();
    }
    mutableState().m_Values[Submitted.m_Name] = Submitted.m_Rest;
    m_StateBytes += Submitted.m_Name.size() + Submitted.m_Rest.size();
    return ResultCode::Ok;
  case StatementKind::Prepare:
    forgetPrepared(Submitted.m_Name);
    mutableState().m_Prepared[Submitted.m_Name] = {Submitted.m_Rest,
                                                   Submitted.m_Writes};
    m_StateBytes += Submitted.m_Name.size() + Submitted.m_Rest.size();
    return ResultCode::Ok;
  case StatementKind::Deallocate:
    return forgetPrepared(Submitted.m_Name)
               ? ResultCode::Ok
               : ResultCode::NotRunUnknownStatement;
  case StatementKind::Execute:
    if (const PreparedStatement *Known = prepared(Submitted.m_Name)) {
      Submitted.m_Writes = Known->m_Writes;
      return std::nullopt;
    }
    return ResultCode::NotRunUnknownStatement;
  case StatementKind::Begin:
  case StatementKind::BeginRead:
    if (m_Status == TransactionStatus::Idle)
      return std::nullopt;
    return ResultCode::NotRunBadRequest;
  case StatementKind::Commit:
    if (m_Status != TransactionStatus::Idle)
      return std::nullopt;
    return ResultCode::NotRunBadRequest;
  case StatementKind::Rollback:
    // The transaction may have been rolled back already.
    if (m_Status != TransactionStatus::Idle)
      return std::nullopt;
    return ResultCode::Ok;
  case StatementKind::Read:
  case StatementKind::Write:
    break;
  }
  return std::nullopt;
}

void CallerSession::answered(const SessionAnswer &Answer) {
  m_Status = Answer.m_Status;
  // Without a clear answer the statement may have committed.
  const bool IsUnclear =
      Answer.m_Code != ResultCode::Ok && !isNotRun(Answer.m_Code);
  if (Answer.m_Written)
    m_LastWrites[Answer.m_Group] = {Answer.m_Written, false};
  else if (Answer.m_IsWriteUnplaced || (m_MayCommit && IsUnclear))
    m_LastWrites[Answer.m_Group].m_IsUnplaced = true;
  else if (Answer.m_PrimaryPoint && lastWrite(Answer.m_Group).m_IsUnplaced)
    m_LastWrites[Answer.m_Group] = {Answer.m_PrimaryPoint, false};
}

const PreparedStatement *
CallerSession::prepared(const std::string &Name) const {
  const auto Found = m_State->m_Prepared.find(Name);
  return Found == m_State->m_Prepared.end() ? nullptr : &Found->second;
}

LastWrite CallerSession::lastWrite(const GroupId &Group) const {
  const auto Found = m_LastWrites.find(Group);
  return Found == m_LastWrites.end() ? LastWrite() : Found->second;
}

/// Removes a prepared statement; false if there is none of this name.
bool CallerSession::forgetPrepared(const std::string &Name) {
  const PreparedStatement *Known = prepared(Name);
  if (Known == nullptr)
    return false;
  m_StateBytes -= Name.size() + Known->m_Definition.size();
  mutableState().m_Prepared.erase(Name);
  return true;
}

SessionState &CallerSession::mutableState() {
  // A running statement keeps the state it was sent with.
  if (m_State.use_count() > 1)
    m_State = std::make_shared<SessionState>(*m_State);
  return *m_State;
}

} // namespace ragwortmux
