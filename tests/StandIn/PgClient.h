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

/// The server's response to one query message.
struct PgAnswer final {
  bool m_Ok = false; ///< True if no statement failed.
  std::string
      m_SqlState; ///< SQLSTATE of the error; empty if the connection was lost.
  std::string m_Message;              ///< Message of the error.
  std::string m_Tag;                  ///< Command tag of the last statement.
  std::vector<std::string> m_Columns; ///< Column names of the last result set.
  std::vector<std::vector<std::string>>
      m_Rows; ///< Last result set; NULL is an empty string.

  /// The first value of the first row; empty without rows.
  std::string value() const;
};

/// A libpq connection to a server on the loopback interface, for tests. All
/// calls block, with time-outs.
class PgClient final {
public:
  explicit PgClient(std::uint16_t Port);
  PgClient(const PgClient &) = delete;
  PgClient &operator=(const PgClient &) = delete;
  ~PgClient();

  /// Connects with the given `options` parameter and database. On failure,
  /// false; then see lastReason() and lastSqlState().
  bool connect(const std::string &Options = "",
               const std::string &Database = "db");
  /// Connects with the option `ragwortmux.term`, as the proxy does.
  bool connectForTerm(std::uint64_t Term);
  /// Sends one message and returns the response to all of its statements.
  PgAnswer query(const std::string &Sql);
  /// Sends one message without waiting for the response.
  bool send(const std::string &Sql);
  /// Waits for the response to send(); nothing on a time-out.
  std::optional<PgAnswer> receive(std::chrono::milliseconds Timeout);
  /// Sends a cancel request for the statement that this connection runs.
  bool cancel();
  /// Closes the connection.
  void close();

  /// The latest value that the server sent for a parameter; empty without one.
  std::string parameter(const std::string &Name) const;
  /// `I`, `T` or `E` as in ReadyForQuery; `?` while a statement runs or without
  /// a connection.
  char transactionStatus() const;
  /// Why the last connect() or send() that failed did so.
  const std::string &lastReason() const { return m_LastReason; }
  /// SQLSTATE of the last failure of connect(); empty if the server sent none.
  const std::string &lastSqlState() const { return m_LastSqlState; }

private:
  std::uint16_t m_Port;            ///< Port of the server.
  pg_conn *m_Connection = nullptr; ///< Null while closed.
  std::string m_LastReason;        ///< See lastReason().
  std::string m_LastSqlState;      ///< See lastSqlState().
};

/// Calls \p Condition every few milliseconds until it returns true; false on
/// a time-out.
bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Timeout = std::chrono::seconds(10));

} // namespace ragwortmux

#endif // TESTS_STANDIN_PGCLIENT_H
