#include "ragwortmux/Process/Backend/BackendConnection.h"

#include "ragwortmux/Process/Backend/ResultEncoder.h"
#include "ragwortmux/Process/Backend/SessionCommands.h"
#include "ragwortmux/Process/Loop/IoLoop.h"

#include <fcntl.h>
#include <libpq-fe.h>
#include <poll.h>

#include <array>
#include <cassert>

namespace ragwortmux {

namespace {

/// TCP user timeout. It also limits libpq's cancel requests, which have no
/// timeout of their own.
constexpr const char *TcpUserTimeoutMs = "5000";
/// SQLSTATE of a connection that could not be established.
constexpr const char *SqlStateCannotConnect = "08001";

std::string trimmed(const char *Text) {
  std::string Result = Text == nullptr ? "" : Text;
  while (!Result.empty() && (Result.back() == '\n' || Result.back() == ' ')) {
    Result.pop_back();
  }
  return Result;
}

std::string sqlStateOf(const PGresult *Result) {
  const char *State = PQresultErrorField(Result, PG_DIAG_SQLSTATE);
  return State == nullptr ? SqlStateCannotConnect : State;
}

/// libpq does not report the SQLSTATE of a refused start-up as a field, so it
/// is derived from the text of the error message.
std::string sqlStateOfRefusal(const std::string &Reason) {
  return Reason.find("too many") != std::string::npos ? "53300"
                                                      : SqlStateCannotConnect;
}

StatementResult::Transaction transactionOf(const PGconn *Connection) {
  switch (PQtransactionStatus(Connection)) {
  case PQTRANS_INTRANS:
    return StatementResult::Transaction::InTransaction;
  case PQTRANS_INERROR:
    return StatementResult::Transaction::Failed;
  default:
    return StatementResult::Transaction::Idle;
  }
}

} // namespace

std::optional<LogPoint> parseRowPoint(const StatementResult &Result) {
  constexpr std::size_t PointColumns = 2;
  if (!Result.m_Ok || Result.m_FirstRow.size() < PointColumns) {
    return std::nullopt;
  }
  return parseLogPoint(Result.m_FirstRow[0] + ":" + Result.m_FirstRow[1]);
}

std::shared_ptr<BackendConnection>
BackendConnection::open(IoLoop &Loop, BackendConnectionSettings Settings,
                        Hooks Callbacks) {
  auto Connection = std::make_shared<BackendConnection>(
      Loop, std::move(Settings), std::move(Callbacks));
  Connection->start();
  return Connection;
}

BackendConnection::BackendConnection(IoLoop &Loop,
                                     BackendConnectionSettings Settings,
                                     Hooks Callbacks)
    : m_Loop(Loop), m_Settings(std::move(Settings)),
      m_Hooks(std::move(Callbacks)) {}

BackendConnection::~BackendConnection() { close(); }

void BackendConnection::execute(const std::string &Sql, std::size_t MaxBytes) {
  assert(m_IsOpen && !m_IsBusy && !m_IsClosed);
  m_IsBusy = true;
  m_MaxBytes = MaxBytes;
  m_Sql = Sql;
  m_IsHeaderEncoded = false;
  m_Result = StatementResult();
  m_Result.m_Ok = true;
  m_Result.m_Body = std::make_shared<std::string>();
  // Single-row mode limits how much of a large answer libpq buffers.
  if (PQsendQuery(m_Connection, Sql.c_str()) == 0 ||
      PQsetSingleRowMode(m_Connection) == 0) {
    fail(trimmed(PQerrorMessage(m_Connection)));
    return;
  }
  flush();
  if (!m_IsClosed) {
    whenReadable(&BackendConnection::readAnswer);
  }
}

std::shared_ptr<pg_cancel> BackendConnection::cancelRequest() const {
  if (!m_IsBusy || m_IsClosed) {
    return nullptr;
  }
  return {PQgetCancel(m_Connection), PQfreeCancel};
}

void BackendConnection::close() {
  m_IsClosed = true;
  m_Observer = nullptr;
  m_SocketCopy = nullptr;
  if (m_Connection != nullptr) {
    PQfinish(m_Connection);
    m_Connection = nullptr;
  }
}

void BackendConnection::start() {
  const std::string Port = std::to_string(m_Settings.m_Port);
  const std::string Options =
      "-c ragwortmux.term=" + std::to_string(m_Settings.m_Term.value()) +
      " -c ragwortmux.slot_refusals=keep";
  const std::array<const char *, 10> Names = {
      "hostaddr",         "port",    "user",       "dbname",
      "options",          "sslmode", "gssencmode", "client_encoding",
      "tcp_user_timeout", nullptr};
  const std::array<const char *, 10> Values = {m_Settings.m_Address.c_str(),
                                               Port.c_str(),
                                               m_Settings.m_User.c_str(),
                                               m_Settings.m_Database.c_str(),
                                               Options.c_str(),
                                               "disable",
                                               "disable",
                                               "UTF8",
                                               TcpUserTimeoutMs,
                                               nullptr};
  m_Connection = PQconnectStartParams(Names.data(), Values.data(), 0);
  // Failures are reported on a later turn of the loop, when the owner has
  // stored the connection.
  m_Loop.after(m_Settings.m_ConnectTimeout, [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && !Self->m_IsOpen && !Self->m_IsClosed) {
      Self->fail("the server did not answer in time");
    }
  });
  if (m_Connection == nullptr || PQstatus(m_Connection) == CONNECTION_BAD) {
    m_Loop.after(Duration(0), [Weak = weak_from_this()] {
      const auto Self = Weak.lock();
      if (Self && !Self->m_IsClosed) {
        Self->fail(Self->m_Connection == nullptr
                       ? "out of memory"
                       : trimmed(PQerrorMessage(Self->m_Connection)));
      }
    });
    return;
  }
  PQsetnonblocking(m_Connection, 1);
  PQsetNoticeReceiver(
      m_Connection, [](void *, const PGresult *) {}, nullptr);
  whenWritable(&BackendConnection::pollConnect);
}

void BackendConnection::pollConnect() {
  switch (PQconnectPoll(m_Connection)) {
  case PGRES_POLLING_READING:
    whenReadable(&BackendConnection::pollConnect);
    return;
  case PGRES_POLLING_WRITING:
    whenWritable(&BackendConnection::pollConnect);
    return;
  case PGRES_POLLING_OK:
    m_IsOpen = true;
    m_Hooks.m_Opened();
    return;
  default:
    fail(trimmed(PQerrorMessage(m_Connection)));
    return;
  }
}

void BackendConnection::flush() {
  const int Pending = PQflush(m_Connection);
  if (Pending < 0) {
    fail(trimmed(PQerrorMessage(m_Connection)));
    return;
  }
  if (Pending > 0) {
    whenWritable(&BackendConnection::flush);
  }
}

void BackendConnection::readAnswer() {
  if (PQconsumeInput(m_Connection) == 0) {
    fail(trimmed(PQerrorMessage(m_Connection)));
    return;
  }
  while (PQisBusy(m_Connection) == 0) {
    PGresult *Next = PQgetResult(m_Connection);
    if (Next == nullptr) {
      finishStatement();
      return;
    }
    appendResult(Next);
    PQclear(Next);
    if (PQstatus(m_Connection) == CONNECTION_BAD) {
      fail(trimmed(PQerrorMessage(m_Connection)));
      return;
    }
  }
  whenReadable(&BackendConnection::readAnswer);
}

void BackendConnection::appendResult(pg_result *Result) {
  const ExecStatusType Status = PQresultStatus(Result);
  if (Status == PGRES_FATAL_ERROR) {
    m_Result.m_Ok = false;
    m_Result.m_SqlState = sqlStateOf(Result);
    m_Result.m_Message =
        trimmed(PQresultErrorField(Result, PG_DIAG_MESSAGE_PRIMARY));
  }
  if (Status == PGRES_COMMAND_OK &&
      changesSession(PQcmdStatus(Result), m_Sql)) {
    m_Result.m_ChangesSession = true;
  }
  if (Status == PGRES_SINGLE_TUPLE && m_Result.m_FirstRow.empty()) {
    for (int Column = 0; Column < PQnfields(Result); ++Column) {
      m_Result.m_FirstRow.emplace_back(PQgetvalue(Result, 0, Column));
    }
  }
  if (m_Result.m_Truncated) {
    return;
  }
  encodeResult(*Result, m_IsHeaderEncoded, *m_Result.m_Body);
  // In single-row mode each row is a result of its own, and only the first one
  // is encoded with the row description.
  m_IsHeaderEncoded = Status == PGRES_SINGLE_TUPLE;
  if (m_Result.m_Body->size() > m_MaxBytes) {
    m_Result.m_Truncated = true;
    m_Result.m_Body->clear();
  }
}

void BackendConnection::finishStatement() {
  m_IsBusy = false;
  m_Result.m_Transaction = transactionOf(m_Connection);
  m_Result.m_Point = reportedPoint();
  // The hook may release the owner's reference; Self keeps the connection alive
  // during the call.
  const auto Self = shared_from_this();
  m_Hooks.m_Answered(std::move(m_Result));
}

void BackendConnection::fail(const std::string &Reason) {
  if (m_IsClosed) {
    return;
  }
  const auto Self = shared_from_this();
  const bool WasOpen = m_IsOpen;
  const Hooks Callbacks = m_Hooks;
  close();
  if (WasOpen) {
    Callbacks.m_Lost(Reason);
    return;
  }
  Callbacks.m_Failed(Reason, sqlStateOfRefusal(Reason));
}

std::optional<LogPoint> BackendConnection::reportedPoint() const {
  const char *Text = PQparameterStatus(m_Connection, "ragwortmux.position");
  return Text == nullptr ? std::nullopt : parseLogPoint(Text);
}

bool BackendConnection::isReadable() const {
  pollfd Socket{PQsocket(m_Connection), POLLIN, 0};
  return poll(&Socket, 1, 0) > 0;
}

void BackendConnection::observeSocket() {
  const int Socket = PQsocket(m_Connection);
  if (m_Observer.get() != nullptr && m_CopiedFd == Socket) {
    return;
  }
  m_Observer = nullptr;
  m_CopiedFd = Socket;
  m_SocketCopy = kj::AutoCloseFd(fcntl(Socket, F_DUPFD_CLOEXEC, 0));
  m_Observer = kj::heap<kj::UnixEventPort::FdObserver>(
      m_Loop.eventPort(), m_SocketCopy,
      kj::UnixEventPort::FdObserver::OBSERVE_READ_WRITE);
}

void BackendConnection::whenReadable(Continuation Next) {
  observeSocket();
  // The notification is edge-triggered, so it does not report data that has
  // already arrived.
  runAfter(isReadable() ? kj::evalLater([] {})
                        : m_Observer->whenBecomesReadable(),
           Next);
}

void BackendConnection::whenWritable(Continuation Next) {
  observeSocket();
  pollfd Socket{PQsocket(m_Connection), POLLOUT, 0};
  const bool Writable = poll(&Socket, 1, 0) > 0;
  runAfter(Writable ? kj::evalLater([] {}) : m_Observer->whenBecomesWritable(),
           Next);
}

void BackendConnection::runAfter(kj::Promise<void> Ready, Continuation Next) {
  m_Loop.spawn(Ready.then(
      [Weak = weak_from_this(), Next] {
        const auto Self = Weak.lock();
        if (Self && !Self->m_IsClosed) {
          (*Self.*Next)();
        }
      },
      [](kj::Exception &&) {}));
}

} // namespace ragwortmux
