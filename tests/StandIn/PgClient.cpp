#include "tests/StandIn/PgClient.h"

#include <libpq-fe.h>
#include <poll.h>

#include <array>
#include <regex>
#include <thread>

namespace ragwortmux {

namespace {

using Clock = std::chrono::steady_clock;
using ResultPointer = std::unique_ptr<PGresult, decltype(&PQclear)>;

constexpr std::chrono::milliseconds PollInterval(2);
constexpr std::chrono::seconds ConnectTimeout(10);

void addResult(PgAnswer &Answer, const PGresult *Result) {
  const ExecStatusType Status = PQresultStatus(Result);
  if (Status != PGRES_COMMAND_OK && Status != PGRES_TUPLES_OK &&
      Status != PGRES_EMPTY_QUERY) {
    const char *State = PQresultErrorField(Result, PG_DIAG_SQLSTATE);
    Answer.m_Ok = false;
    // A lost connection has no SQLSTATE of its own; the error by which the
    // server announced the end of the connection has one.
    if (Answer.m_SqlState.empty() || State != nullptr) {
      Answer.m_SqlState = State == nullptr ? "" : State;
    }
    Answer.m_Message = PQresultErrorMessage(Result);
    return;
  }
  Answer.m_Tag = PQcmdStatus(const_cast<PGresult *>(Result));
  if (Status != PGRES_TUPLES_OK) {
    return;
  }
  Answer.m_Columns.clear();
  Answer.m_Rows.clear();
  for (int Column = 0; Column < PQnfields(Result); ++Column) {
    Answer.m_Columns.emplace_back(PQfname(Result, Column));
  }
  for (int Row = 0; Row < PQntuples(Result); ++Row) {
    auto &Values = Answer.m_Rows.emplace_back();
    for (int Column = 0; Column < PQnfields(Result); ++Column) {
      Values.emplace_back(
          PQgetvalue(Result, Row, Column),
          static_cast<std::size_t>(PQgetlength(Result, Row, Column)));
    }
  }
}

/// Polls a connection attempt until it succeeds or fails; true on success.
bool finishConnecting(PGconn *Connection) {
  const auto Deadline = Clock::now() + ConnectTimeout;
  PostgresPollingStatusType PollStatus = PGRES_POLLING_WRITING;
  while (PollStatus != PGRES_POLLING_OK && PollStatus != PGRES_POLLING_FAILED &&
         PQstatus(Connection) != CONNECTION_BAD) {
    const short Events = PollStatus == PGRES_POLLING_READING ? POLLIN : POLLOUT;
    pollfd Poll{PQsocket(Connection), Events, 0};
    const auto Remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(Deadline -
                                                              Clock::now());
    if (Remaining.count() <= 0 ||
        poll(&Poll, 1, static_cast<int>(Remaining.count())) <= 0) {
      return false;
    }
    PollStatus = PQconnectPoll(Connection);
  }
  return PollStatus == PGRES_POLLING_OK;
}

} // namespace

std::string PgAnswer::value() const {
  return m_Rows.empty() || m_Rows[0].empty() ? "" : m_Rows[0][0];
}

PgClient::PgClient(std::uint16_t Port) : m_Port(Port) {}

PgClient::~PgClient() { close(); }

bool PgClient::connect(const std::string &Options,
                       const std::string &Database) {
  close();
  const std::string Port = std::to_string(m_Port);
  const std::array<const char *, 7> Names = {
      "host", "port", "user", "dbname", "options", "sslmode", nullptr};
  const std::array<const char *, 7> Values = {
      "127.0.0.1",     Port.c_str(), "clerk", Database.c_str(),
      Options.c_str(), "disable",    nullptr};
  // libpq puts the SQLSTATE of a failed connection only into verbose messages,
  // and only if the verbosity is set before the error arrives.
  m_Connection = PQconnectStartParams(Names.data(), Values.data(), 0);
  PQsetErrorVerbosity(m_Connection, PQERRORS_VERBOSE);
  if (finishConnecting(m_Connection)) {
    PQsetErrorVerbosity(m_Connection, PQERRORS_DEFAULT);
    return true;
  }
  m_LastReason = PQerrorMessage(m_Connection);
  m_LastSqlState.clear();
  const std::regex State("(FATAL|ERROR):  ([0-9A-Z]{5}):");
  std::smatch Match;
  if (std::regex_search(m_LastReason, Match, State)) {
    m_LastSqlState = Match[2];
  }
  close();
  return false;
}

bool PgClient::connectForTerm(std::uint64_t Term) {
  return connect("-c ragwortmux.term=" + std::to_string(Term));
}

PgAnswer PgClient::query(const std::string &Sql) {
  if (!send(Sql)) {
    PgAnswer Lost;
    Lost.m_Message = m_LastReason;
    return Lost;
  }
  return receive(std::chrono::seconds(30)).value_or(PgAnswer());
}

bool PgClient::send(const std::string &Sql) {
  if (m_Connection == nullptr || PQsendQuery(m_Connection, Sql.c_str()) == 0) {
    m_LastReason = m_Connection == nullptr ? "the client is not connected"
                                           : PQerrorMessage(m_Connection);
    return false;
  }
  return true;
}

std::optional<PgAnswer> PgClient::receive(std::chrono::milliseconds Timeout) {
  const auto Deadline = Clock::now() + Timeout;
  PgAnswer Answer;
  Answer.m_Ok = true;
  while (true) {
    while (PQisBusy(m_Connection) != 0) {
      const auto Remaining =
          std::chrono::duration_cast<std::chrono::milliseconds>(Deadline -
                                                                Clock::now());
      pollfd Poll{PQsocket(m_Connection), POLLIN, 0};
      if (Remaining.count() <= 0 ||
          poll(&Poll, 1, static_cast<int>(Remaining.count())) <= 0) {
        return std::nullopt;
      }
      if (PQconsumeInput(m_Connection) == 0) {
        break;
      }
    }
    const ResultPointer Result(PQgetResult(m_Connection), &PQclear);
    if (!Result) {
      return Answer;
    }
    addResult(Answer, Result.get());
  }
}

bool PgClient::cancel() {
  PGcancel *Request = PQgetCancel(m_Connection);
  std::array<char, 256> Reason{};
  const bool Sent = PQcancel(Request, Reason.data(), Reason.size()) != 0;
  PQfreeCancel(Request);
  return Sent;
}

void PgClient::close() {
  PQfinish(m_Connection);
  m_Connection = nullptr;
}

std::string PgClient::parameter(const std::string &Name) const {
  const char *Value = PQparameterStatus(m_Connection, Name.c_str());
  return Value == nullptr ? "" : Value;
}

char PgClient::transactionStatus() const {
  switch (PQtransactionStatus(m_Connection)) {
  case PQTRANS_IDLE:
    return 'I';
  case PQTRANS_INTRANS:
    return 'T';
  case PQTRANS_INERROR:
    return 'E';
  default:
    return '?';
  }
}

bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Timeout) {
  const auto Deadline = Clock::now() + Timeout;
  while (!Condition()) {
    if (Clock::now() >= Deadline) {
      return false;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace ragwortmux
