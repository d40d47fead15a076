#include "ragwortmux/Process/Operators/SqlClient.h"

#include "ragwortmux/Process/Support/Commands.h"

#include <libpq-fe.h>

#include <array>
#include <cstdio>
#include <memory>
#include <string>

namespace ragwortmux {

namespace {

constexpr int ExitFailed = 1;

struct ConnectionCloser final {
  void operator()(PGconn *Connection) const { PQfinish(Connection); }
};
struct ResultClearer final {
  void operator()(PGresult *Result) const { PQclear(Result); }
};
using ConnectionPtr = std::unique_ptr<PGconn, ConnectionCloser>;
using ResultPtr = std::unique_ptr<PGresult, ResultClearer>;

/// Returns a start-up option, or an empty string if the value is empty. Blanks
/// and backslashes are escaped as libpq requires.
std::string startupOption(const std::string &Name, const std::string &Value) {
  if (Value.empty()) {
    return "";
  }
  std::string Text = " -c ragwortmux." + Name + "=";
  for (const char Character : Value) {
    if (Character == ' ' || Character == '\\') {
      Text += '\\';
    }
    Text += Character;
  }
  return Text;
}

std::string startupOptions(const SqlCommand &Command) {
  std::string MaxAge;
  if (Command.m_MaxAge) {
    MaxAge = std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(*Command.m_MaxAge)
            .count());
  }
  return startupOption("session", Command.m_Session.value()) +
         startupOption("token", Command.m_Token) +
         startupOption("request_key", Command.m_RequestKey.value()) +
         startupOption("max_age_ms", MaxAge);
}

ConnectionPtr connect(const SqlCommand &Command) {
  const std::string Port = std::to_string(Command.m_Target.m_Port);
  const std::string Options = startupOptions(Command);
  const std::array<const char *, 8> Names = {"hostaddr",   "port",    "user",
                                             "dbname",     "options", "sslmode",
                                             "gssencmode", nullptr};
  const std::array<const char *, 8> Values = {
      Command.m_Target.m_Address.c_str(),
      Port.c_str(),
      "ragwortmux",
      Command.m_Entry.value().c_str(),
      Options.c_str(),
      "disable",
      "disable",
      nullptr};
  return ConnectionPtr(PQconnectdbParams(Names.data(), Values.data(), 0));
}

void printRows(const PGresult *Result) {
  for (int Row = 0; Row < PQntuples(Result); ++Row) {
    for (int Column = 0; Column < PQnfields(Result); ++Column) {
      std::printf("%s%s", Column == 0 ? "" : "\t",
                  PQgetvalue(Result, Row, Column));
    }
    std::printf("\n");
  }
}

} // namespace

int runSql(const SqlCommand &Command) {
  const ConnectionPtr Connection = connect(Command);
  if (PQstatus(Connection.get()) != CONNECTION_OK) {
    std::fputs(PQerrorMessage(Connection.get()), stderr);
    return ExitFailed;
  }
  const ResultPtr Result(PQexec(Connection.get(), Command.m_Text.c_str()));
  const ExecStatusType Status = PQresultStatus(Result.get());
  if (Status != PGRES_TUPLES_OK && Status != PGRES_COMMAND_OK &&
      Status != PGRES_EMPTY_QUERY) {
    const char *State = PQresultErrorField(Result.get(), PG_DIAG_SQLSTATE);
    std::fprintf(stderr, "%s %s", State == nullptr ? "" : State,
                 PQresultErrorMessage(Result.get()));
    return ExitFailed;
  }
  if (Status == PGRES_TUPLES_OK) {
    printRows(Result.get());
  } else {
    std::printf("%s\n", PQcmdStatus(Result.get()));
  }
  const char *Token = PQparameterStatus(Connection.get(), "ragwortmux.token");
  if (Token != nullptr) {
    std::fprintf(stderr, "token %s\n", Token);
  }
  return 0;
}

} // namespace ragwortmux
