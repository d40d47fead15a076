#ifndef RAGWORTMUX_PROCESS_BACKEND_BACKENDCONNECTION_H
#define RAGWORTMUX_PROCESS_BACKEND_BACKENDCONNECTION_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/LogPoint.h"

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct pg_cancel;
struct pg_conn;
struct pg_result;

namespace ragwortmux {

class IoLoop;

/// Address and parameters of a connection to a backend server.
struct BackendConnectionSettings final {
  std::string m_Address;                 ///< IP address.
  std::uint16_t m_Port = 0;              ///< TCP port.
  std::string m_User = "ragwortmux";     ///< Database user.
  std::string m_Database = "ragwortmux"; ///< Database name.
  Term m_Term; ///< Sent as ragwortmux.term; 0 for connections of control.
  Duration m_ConnectTimeout = std::chrono::seconds(
      2); ///< From the first packet until the server is ready.
};

/// The complete result of one simple query message.
struct StatementResult final {
  /// Transaction state of the backend connection after the statement.
  enum class Transaction : std::uint8_t { Idle, InTransaction, Failed };

  bool m_Ok = false;      ///< No statement of the message failed.
  std::string m_SqlState; ///< SQLSTATE of the error; empty if m_Ok.
  std::string m_Message;  ///< Text of the error; empty if m_Ok.
  Transaction m_Transaction =
      Transaction::Idle; ///< Transaction state afterwards.
  std::optional<LogPoint>
      m_Point; ///< Value of ragwortmux.position that the server reported.
  std::shared_ptr<std::string>
      m_Body; ///< Protocol messages for a caller, without ReadyForQuery.
  bool m_Truncated =
      false; ///< The answer exceeded the size limit; m_Body is empty.
  bool m_ChangesSession =
      false; ///< A command changed state of the session that outlives it.
  std::vector<std::string>
      m_FirstRow; ///< Values of the first row, for control calls.
};

/// The log position in the first two columns (term, position) of the first row;
/// no value if the statement failed or returned no such row.
std::optional<LogPoint> parseRowPoint(const StatementResult &Result);

/// A non-blocking libpq connection to a backend server, driven by the event
/// loop.
///
/// Used on the loop's thread only. Hooks may destroy the connection.
class BackendConnection final
    : public std::enable_shared_from_this<BackendConnection> {
public:
  /// Callbacks of the owner.
  struct Hooks final {
    std::function<void()> m_Opened; ///< Ready for a statement.
    std::function<void(std::string Reason, std::string SqlState)>
        m_Failed; ///< Could not be opened.
    std::function<void(StatementResult Result)>
        m_Answered; ///< Complete result of the statement.
    std::function<void(std::string Reason)> m_Lost; ///< Lost after it was open.
  };

  /// Starts to connect. Exactly one of m_Opened and m_Failed follows, unless
  /// close() is called.
  static std::shared_ptr<BackendConnection>
  open(IoLoop &Loop, BackendConnectionSettings Settings, Hooks Callbacks);

  BackendConnection(IoLoop &Loop, BackendConnectionSettings Settings,
                    Hooks Callbacks);
  ~BackendConnection();
  BackendConnection(const BackendConnection &) = delete;
  BackendConnection &operator=(const BackendConnection &) = delete;

  /// Sends one simple query message. The connection must be open with no
  /// statement running. If the encoded answer exceeds \p MaxBytes, the result
  /// is marked as truncated.
  void execute(const std::string &Sql, std::size_t MaxBytes);

  /// A handle that cancels the running statement and stays valid after close();
  /// null if no statement is running.
  std::shared_ptr<pg_cancel> cancelRequest() const;

  /// Closes the connection immediately; no further hooks are called.
  void close();

private:
  /// Continues an operation once the socket is ready.
  using Continuation = void (BackendConnection::*)();

  void start();
  void pollConnect();
  void readAnswer();
  void flush();
  void whenReadable(Continuation Next);
  void whenWritable(Continuation Next);
  void runAfter(kj::Promise<void> Ready, Continuation Next);
  void observeSocket();
  void appendResult(pg_result *Result);
  void finishStatement();
  void fail(const std::string &Reason);
  std::optional<LogPoint> reportedPoint() const;
  bool isReadable() const;

  IoLoop &m_Loop;                       ///< The loop that drives the socket.
  BackendConnectionSettings m_Settings; ///< Address and parameters.
  Hooks m_Hooks;                        ///< The owner's hooks.
  pg_conn *m_Connection = nullptr;      ///< libpq's handle.
  kj::AutoCloseFd m_SocketCopy; ///< Duplicate of libpq's socket, since libpq
                                ///< may close its own at any time.
  int m_CopiedFd = -1; ///< The socket of which m_SocketCopy is a duplicate.
  kj::Own<kj::UnixEventPort::FdObserver> m_Observer; ///< Observes m_SocketCopy.
  bool m_IsClosed = false;    ///< close() was called, or m_Failed or m_Lost.
  bool m_IsOpen = false;      ///< m_Opened was called.
  bool m_IsBusy = false;      ///< A statement is running.
  std::size_t m_MaxBytes = 0; ///< Size limit of the answer, in bytes.
  std::string m_Sql;          ///< The message that is being run.
  bool m_IsHeaderEncoded =
      false; ///< m_Body has the row description of the current result.
  StatementResult m_Result; ///< Result of the running statement.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_BACKEND_BACKENDCONNECTION_H
