#ifndef TESTS_STANDIN_PGCLIENT_H
#define TESTS_STANDIN_PGCLIENT_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct pg_conn;

namespace ragwortmux {

/// The answer to one query message.
struct PgAnswer final {
  bool m_Ok = false;      ///< No statement failed.
  std::string m_SqlState; ///< Of the error; empty if the connection was lost.
  std::string m_Message;  ///< Of the error.
  std::string m_Tag;      ///< Command tag of the last statement.
  std::vector<std::string> m_Columns;           ///< Of the last rows.
  std::vector<std::vector<std::string>> m_Rows; ///< NULL is empty.

  /// The first value of the first row; empty if there is none.
  std::string value() const;
};

/// A blocking libpq connection to a server on the loopback interface.
class PgClient final {
public:
  explicit PgClient(std::uint16_t Port);
  PgClient(const PgClient &) = delete;
  PgClient &operator=(const PgClient &) = delete;
  ~PgClient();

  /// Connects with the given `options` text and database. False with
  /// lastReason() and lastSqlState() if refused.
  bool connect(const std::string &Options = "",
               const std::string &Database = "db");
  /// Connects for a term, as the proxy does.
  bool connectForTerm(std::uint64_t Term);
  /// Runs one message and returns its whole answer.
  PgAnswer query(const std::string &Sql);
  /// Sends one message without waiting for its answer.
  bool send(const std::string &Sql);
  /// Waits for the answer of send(). Nothing if the time is over.
  std::optional<PgAnswer> receive(std::chrono::milliseconds Timeout);
  /// Asks the server to cancel what this connection runs.
  bool cancel();
  /// Closes the connection.
  void close();

  /// The last value that the server reported for a parameter.
  std::string parameter(const std::string &Name) const;
  /// I, T or E as in ReadyForQuery; `?` without a connection.
  char transactionStatus() const;
  /// Why connect() failed.
  const std::string &lastReason() const { return m_LastReason; }
  /// SQLSTATE with which connect() was refused; may be empty.
  const std::string &lastSqlState() const { return m_LastSqlState; }

private:
  std::uint16_t m_Port;            ///< Of the server.
  pg_conn *m_Connection = nullptr; ///< Null if closed.
  std::string m_LastReason;        ///< Why connect() failed.
  std::string m_LastSqlState;      ///< See lastSqlState().
};

/// Calls \p Condition every few milliseconds until it is true; false if the
/// time is over.
bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Timeout = std::chrono::seconds(10));

} // namespace ragwortmux

#endif // TESTS_STANDIN_PGCLIENT_H
