#include "bench/Measure/SessionClient.h"

#include "bench/Measure/Cluster.h"

namespace ragwortmux {

namespace {

constexpr std::chrono::milliseconds RequestTimeout(8'000);

} // namespace

ClientAnswer SessionClient::run(const Request &Given) {
  Link &Used = m_Links[{Given.m_Host, Given.m_Entry}];
  if (!Used.m_Connection) {
    Used.m_Connection = std::make_unique<ClientConnection>(
        m_Cluster.callerPort(Given.m_Host), Given.m_Entry);
  }
  if (!Used.m_Connection->isOpen()) {
    Used.m_Session.clear();
    Used.m_RequestKey.clear();
  }
  ClientAnswer Answer;
  if (Used.m_Session != Given.m_Session) {
    // The connection still has the token of its previous session.
    if (!setParameter(Used, "token", "", Answer) ||
        !setParameter(Used, "session", Given.m_Session, Answer)) {
      return Answer;
    }
    Used.m_Session = Given.m_Session;
  }
  if (Used.m_RequestKey != Given.m_RequestKey) {
    if (!setParameter(Used, "request_key", Given.m_RequestKey, Answer)) {
      return Answer;
    }
    Used.m_RequestKey = Given.m_RequestKey;
  }
  return Used.m_Connection->run(Given.m_Sql, RequestTimeout);
}

bool SessionClient::setParameter(Link &To, const std::string &Name,
                                 const std::string &Value,
                                 ClientAnswer &Answer) {
  Answer = To.m_Connection->run("SET ragwortmux." + Name + " = '" + Value + "'",
                                RequestTimeout);
  if (Answer.ok()) {
    return true;
  }
  // The request itself was not sent, so its outcome is not unknown.
  if (Answer.m_Code == ClientAnswer::Lost) {
    Answer.m_Code = ClientAnswer::OtherError;
  }
  To.m_Connection->close();
  return false;
}

} // namespace ragwortmux
