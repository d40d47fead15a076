#include "bench/Measure/ClientConnection.h"

#include <libpq-fe.h>
#include <poll.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <string_view>

namespace ragwortmux {

namespace {

using Clock = std::chrono::steady_clock;
using ResultPointer = std::unique_ptr<PGresult, decltype(&PQclear)>;

constexpr std::string_view ResultPrefix = "ragwortmux result ";

/// Waits until a socket is ready; false on a time-out.
bool waitForSocket(int Socket, short Events, Clock::time_point Until) {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Until - Clock::now());
  pollfd Poll{Socket, Events, 0};
  return Left.count() > 0 &&
         poll(&Poll, 1, static_cast<int>(Left.count()) + 1) > 0;
}

/// Result code in an error text; OtherError if it contains none.
unsigned resultCodeOf(std::string_view Text) {
  const std::size_t Begin = Text.find(ResultPrefix);
  if (Begin == std::string_view::npos) {
    return ClientAnswer::OtherError;
  }
  return static_cast<unsigned>(std::strtoul(
      std::string(Text.substr(Begin + ResultPrefix.size(), 3)).c_str(), nullptr,
      10));
}

void addResult(ClientAnswer &Answer, const PGresult *Result) {
  switch (PQresultStatus(Result)) {
  case PGRES_TUPLES_OK:
    Answer.m_Values.emplace_back(
        PQntuples(Result) > 0 ? PQgetvalue(Result, 0, PQnfields(Result) - 1)
                              : "");
    return;
  case PGRES_COMMAND_OK:
  case PGRES_EMPTY_QUERY:
    return;
  default:
    Answer.m_Error = PQresultErrorMessage(Result);
    Answer.m_Code = resultCodeOf(Answer.m_Error);
  }
}

} // namespace

ClientConnection::ClientConnection(std::uint16_t Port, std::string Database)
    : m_Port(Port), m_Database(std::move(Database)) {}

ClientConnection::~ClientConnection() { close(); }

ClientAnswer ClientConnection::run(const std::string &Sql,
                                   std::chrono::milliseconds Timeout) {
  const Deadline Until = Clock::now() + Timeout;
  ClientAnswer Answer;
  if (!isOpen() && !connect(Until, Answer)) {
    return Answer;
  }
  bool IsComplete = PQsendQuery(m_Connection, Sql.c_str()) != 0;
  while (IsComplete) {
    IsComplete = waitForResult(Until);
    if (!IsComplete) {
      break;
    }
    const ResultPointer Result(PQgetResult(m_Connection), &PQclear);
    if (!Result) {
      break;
    }
    addResult(Answer, Result.get());
  }
  if (!IsComplete || PQstatus(m_Connection) != CONNECTION_OK) {
    // A refusal that also closes the connection stays a refusal.
    if (Answer.m_Code == 0 || Answer.m_Code == ClientAnswer::OtherError) {
      Answer.m_Code = ClientAnswer::Lost;
      Answer.m_Error += PQerrorMessage(m_Connection);
    }
    close();
  }
  return Answer;
}

void ClientConnection::close() {
  if (m_Connection != nullptr) {
    PQfinish(m_Connection);
    m_Connection = nullptr;
  }
}

bool ClientConnection::connect(Deadline Until, ClientAnswer &Answer) {
  const std::string Port = std::to_string(m_Port);
  const std::array<const char *, 6> Names = {"host",   "port",    "user",
                                             "dbname", "sslmode", nullptr};
  const std::array<const char *, 6> Values = {"127.0.0.1", Port.c_str(),
                                              "clerk",     m_Database.c_str(),
                                              "disable",   nullptr};
  m_Connection = PQconnectStartParams(Names.data(), Values.data(), 0);
  PostgresPollingStatusType PollState = PGRES_POLLING_WRITING;
  while (PQstatus(m_Connection) != CONNECTION_BAD &&
         PollState != PGRES_POLLING_OK && PollState != PGRES_POLLING_FAILED) {
    const short Events = PollState == PGRES_POLLING_READING ? POLLIN : POLLOUT;
    if (!waitForSocket(PQsocket(m_Connection), Events, Until)) {
      PollState = PGRES_POLLING_FAILED;
      break;
    }
    PollState = PQconnectPoll(m_Connection);
  }
  if (PollState == PGRES_POLLING_OK) {
    return true;
  }
  Answer.m_Error = PQerrorMessage(m_Connection);
  // No statement was sent, so the outcome is not unknown.
  Answer.m_Code = resultCodeOf(Answer.m_Error);
  close();
  return false;
}

bool ClientConnection::waitForResult(Deadline Until) {
  while (PQflush(m_Connection) == 1 || PQisBusy(m_Connection) != 0) {
    if (!waitForSocket(PQsocket(m_Connection), POLLIN, Until) ||
        PQconsumeInput(m_Connection) == 0) {
      return false;
    }
  }
  return true;
}

} // namespace ragwortmux
