#include "ragwortmux/Version/SessionTable.h"

#include "ragwortmux/Version/ControlCommand.h"

#include <algorithm>

namespace ragwortmux {

ControlResult SessionTable::open(const OpenSession &Command) {
  if (Command.m_Host.value().empty() || Command.m_Address.empty() ||
      Command.m_Domain.value().empty())
    return ControlResult::refused(ResultCode::BadArgument,
                                  "host, domain or address is empty");
  ControlResult Result;
  for (const auto &[Id, Session] : m_Sessions) {
    if (Session.m_Host != Command.m_Host)
      continue;
    if (Session.m_Incarnation > Command.m_Incarnation)
      return ControlResult::refused(
          ResultCode::BadArgument,
          "a later run of the host has an open session");
    if (Session.m_Incarnation == Command.m_Incarnation) {
      Result.m_Session = Id;
      return Result;
    }
    // The earlier run has ended, so it acknowledges nothing any more.
    Result.m_EndedSession = Id;
  }
  if (Result.m_EndedSession)
    m_Sessions.erase(*Result.m_EndedSession);
  m_Last = ControlSessionId(m_Last.value() + 1);
  m_Sessions[m_Last] = {.m_Session = m_Last,
                        .m_Host = Command.m_Host,
                        .m_Incarnation = Command.m_Incarnation,
                        .m_Domain = Command.m_Domain,
                        .m_Address = Command.m_Address,
                        .m_RpcPort = Command.m_RpcPort};
  Result.m_Session = m_Last;
  return Result;
}

ControlResult SessionTable::end(ControlSessionId Session) {
  m_Sessions.erase(Session);
  return {};
}

void SessionTable::importData(ControlSessionId Last,
                              const std::vector<SessionRecord> &Sessions) {
  m_Last = Last;
  m_Sessions.clear();
  for (const SessionRecord &Session : Sessions)
    m_Sessions[Session.m_Session] = Session;
}

const SessionRecord *SessionTable::find(ControlSessionId Session) const {
  const auto Found = m_Sessions.find(Session);
  return Found == m_Sessions.end() ? nullptr : &Found->second;
}

const SessionRecord *SessionTable::find(const HostId &Host,
                                        Incarnation Run) const {
  const auto Found =
      std::find_if(m_Sessions.begin(), m_Sessions.end(), [&](const auto &Each) {
        return Each.second.m_Host == Host && Each.second.m_Incarnation == Run;
      });
  return Found == m_Sessions.end() ? nullptr : &Found->second;
}

void SessionTable::forEachSession(
    const std::function<void(const SessionRecord &)> &Visit) const {
  for (const auto &[Id, Session] : m_Sessions)
    Visit(Session);
}

} // namespace ragwortmux
