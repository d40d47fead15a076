#ifndef BENCH_MEASURE_CLIENTCONNECTION_H
#define BENCH_MEASURE_CLIENTCONNECTION_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

struct pg_conn;

namespace ragwortmux {

/// Answer to one message.
struct ClientAnswer final {
  /// Result code of ragwortmux; OtherError for an error without a result code,
  /// Lost if the answer was missing or incomplete.
  unsigned m_Code = 0;
  std::string m_Error;               ///< Text of the error.
  std::vector<std::string> m_Values; ///< Per result set, the last value of the
                                     ///< first row; empty if it has no rows.

  static constexpr unsigned OtherError = 998;
  static constexpr unsigned Lost = 999;

  bool ok() const { return m_Code == 0; }
};

/// A libpq connection to an entry host or a backend server; calls have a time
/// limit.
class ClientConnection final {
public:
  ClientConnection(std::uint16_t Port, std::string Database);
  ClientConnection(const ClientConnection &) = delete;
  ClientConnection &operator=(const ClientConnection &) = delete;
  ~ClientConnection();

  /// Runs one message; connects first if not connected. Closes the connection
  /// if the answer does not arrive in time.
  ClientAnswer run(const std::string &Sql, std::chrono::milliseconds Timeout);

  /// True if the connection is open.
  bool isOpen() const { return m_Connection != nullptr; }
  void close();

private:
  using Deadline = std::chrono::steady_clock::time_point;

  bool connect(Deadline Until, ClientAnswer &Answer);
  bool waitForResult(Deadline Until);

  const std::uint16_t m_Port;      ///< Port on the loopback interface.
  const std::string m_Database;    ///< Database or catalogue entry.
  pg_conn *m_Connection = nullptr; ///< Null if closed.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_CLIENTCONNECTION_H
