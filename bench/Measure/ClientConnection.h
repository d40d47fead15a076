#ifndef BENCH_MEASURE_CLIENTCONNECTION_H
#define BENCH_MEASURE_CLIENTCONNECTION_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

struct pg_conn;

namespace ragwortmux {

/// The answer to one message.
struct ClientAnswer final {
  /// Result code of ragwortmux; OtherError if the server gave an error of its
  /// own, Lost if there was no whole answer.
  unsigned m_Code = 0;
  std::string m_Error;               ///< Text of the error.
  std::vector<std::string> m_Values; ///< Last value of each statement's first
                                     ///< row.

  static constexpr unsigned OtherError = 998;
  static constexpr unsigned Lost = 999;

  bool ok() const { return m_Code == 0; }
};

/// A libpq connection to an entry host or a backend server whose calls end
/// after a time limit.
class ClientConnection final {
public:
  ClientConnection(std::uint16_t Port, std::string Database);
  ClientConnection(const ClientConnection &) = delete;
  ClientConnection &operator=(const ClientConnection &) = delete;
  ~ClientConnection();

  /// Runs one message. Connects first if that is needed; a connection whose
  /// answer did not come in time is closed.
  ClientAnswer run(const std::string &Sql, std::chrono::milliseconds Timeout);

  /// True if there is a connection.
  bool isOpen() const { return m_Connection != nullptr; }
  void close();

private:
  using Deadline = std::chrono::steady_clock::time_point;

  bool connect(Deadline Until, ClientAnswer &Answer);
  bool waitForResult(Deadline Until);

  const std::uint16_t m_Port;      ///< Port on the loopback interface.
  const std::string m_Database;    ///< Name of the database.
  pg_conn *m_Connection = nullptr; ///< Null if closed.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_CLIENTCONNECTION_H
