#include "ragwortmux/Process/Entry/CallerConnection.h"

#include "ragwortmux/Connection/Codec/PgMessageWriter.h"
#include "ragwortmux/Connection/Codec/PgSetStatement.h"
#include "ragwortmux/Connection/WorkspaceScope.h"
#include "ragwortmux/Core/ClearText.h"
#include "ragwortmux/Process/Loop/HasPeerClosed.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Support/DigestKey.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Version/Workspace.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ragwortmux {

namespace {

constexpr std::uint32_t ProtocolMajor = 3;
constexpr std::uint32_t MajorShift = 16;
constexpr const char *SqlStateProtocol = "08P01";
constexpr const char *SqlStateUnsupported = "0A000";
constexpr const char *SqlStateBadValue = "22023";
constexpr const char *SqlStateCancelled = "57014";
constexpr std::string_view SettingPrefix = "ragwortmux.";
constexpr std::size_t MaxNameBytes = 256;

PgError makeError(const std::string &Severity, const std::string &SqlState,
                  std::string Message) {
  PgError Error;
  Error.m_Severity = Severity;
  Error.m_SqlState = SqlState;
  Error.m_Message = std::move(Message);
  return Error;
}

PgError makeResultError(ResultCode Code, const std::string &Reason,
                        const std::string &Severity) {
  const ResultCodeInfo &Info = resultCodeInfo(Code);
  PgError Error = makeError(Severity, std::string(Info.m_SqlState),
                            std::string(Info.m_Meaning));
  Error.m_Detail = "ragwortmux result " +
                   std::to_string(static_cast<unsigned>(Code)) + " " +
                   std::string(Info.m_Name);
  if (!Reason.empty()) {
    Error.m_Detail += ": " + Reason;
  }
  return Error;
}

PgTransactionStatus toPgStatus(TransactionStatus Status) {
  switch (Status) {
  case TransactionStatus::InTransaction:
    return PgTransactionStatus::InTransaction;
  case TransactionStatus::Failed:
    return PgTransactionStatus::Failed;
  default:
    return PgTransactionStatus::Idle;
  }
}

bool isWrite(const CatalogueEntry &Entry) {
  return Entry.m_Class == TrafficClass::Booking ||
         Entry.m_Class == TrafficClass::Write;
}

} // namespace

CallerConnection::CallerConnection(
    IoLoop &Loop, kj::Own<kj::AsyncIoStream> Stream, std::uint32_t ProcessId,
    std::uint32_t SecretKey, PgMessageReaderSettings Limits, CallerHooks Hooks)
    : m_Loop(Loop), m_Stream(kj::mv(Stream)), m_ProcessId(ProcessId),
      m_SecretKey(SecretKey), m_Reader(Limits), m_Hooks(std::move(Hooks)),
      m_Id(m_Hooks.m_NextId()) {}

CallerConnection::~CallerConnection() = default;

void CallerConnection::start() { readIfAllowed(); }

void CallerConnection::resume() {
  if (m_Closed) {
    return;
  }
  handleInput();
  if (!m_Closed && !m_IsReading) {
    readIfAllowed();
  }
}

void CallerConnection::readIfAllowed() {
  reportUsage();
  if (m_Hooks.m_MayRead()) {
    read();
  }
}

void CallerConnection::reportUsage() {
  if (m_Closed) {
    return;
  }
  constexpr std::size_t MaxCounted = 100000;
  CallerUsage Usage;
  Usage.m_InputBytes = m_Reader.allocatedBytes();
  Usage.m_OutputBytes = m_Output.size() + m_BytesInWrite;
  Usage.m_HasStarted = m_HasStarted;
  Usage.m_Workspace = m_Workspace;
  Usage.m_MessagesRead = m_MessagesRead;
  Usage.m_WritesDone = m_WritesDone;
  if (m_PendingRequest) {
    Usage.m_InputBytes += m_PendingRequest->m_Bytes;
    Usage.m_Statements = 1 + m_Reader.bufferedMessages(MaxCounted);
  }
  // While a request is pending, whole messages of the caller wait in the
  // reader.
  Usage.m_HasPartialMessage = !m_PendingRequest && m_Reader.bufferedBytes() > 0;
  m_Hooks.m_Used(Usage);
}

void CallerConnection::read() {
  const auto Self = shared_from_this();
  const std::span<std::byte> Buffer = m_Buffer.prepare();
  m_IsReading = true;
  // On a broken connection tryRead() and write() may throw at once; the
  // exception must not end the loop's task that has called this.
  m_Loop.spawn(kj::evalNow([&] {
                 return m_Stream->tryRead(Buffer.data(), 1, Buffer.size());
               })
                   .then(
                       [this, Self, Buffer](std::size_t Count) {
                         m_IsReading = false;
                         if (Count == 0 || m_Closed) {
                           close();
                           return;
                         }
                         m_Buffer.received(Count);
                         m_Reader.feed(Buffer.first(Count));
                         if (!m_HasStarted) {
                           // The input may contain the caller's key.
                           clearBytes(Buffer.data(), Count);
                         }
                         handleInput();
                         if (!m_Closed) {
                           readIfAllowed();
                         }
                       },
                       [this, Self](kj::Exception &&) { close(); }));
}

void CallerConnection::handleInput() {
  // While a request is pending, further input stays in the reader.
  while (!m_Closed && !m_CloseAfterWrite && !m_PendingRequest) {
    // Asked before each message, because the answers to the small messages of
    // one read can be many times larger than that read.
    reportUsage();
    if (m_Reader.bufferedBytes() > 0 && !m_Hooks.m_MayRead()) {
      break;
    }
    auto Message = m_Reader.next();
    if (!Message) {
      break;
    }
    ++m_MessagesRead;
    const bool ShouldContinue = std::visit(
        [this](auto &Alternative) { return handle(Alternative); }, *Message);
    if (!ShouldContinue) {
      return;
    }
  }
  if (m_Reader.error() && !m_Closed && !m_CloseAfterWrite) {
    PgError Error = *m_Reader.error();
    Error.m_Severity = "FATAL";
    std::string Bytes;
    PgMessageWriter(Bytes).errorResponse(Error);
    write(Bytes, true);
  }
}

bool CallerConnection::handle(const PgStartup &Message) {
  const auto Parameter = [&Message](const char *Name) {
    const auto Found = Message.m_Parameters.find(Name);
    return Found == Message.m_Parameters.end() ? std::string() : Found->second;
  };
  std::string Bytes;
  PgMessageWriter Writer(Bytes);
  const auto Fail = [&](const PgError &Error) {
    Writer.errorResponse(Error);
    write(Bytes, true);
    return false;
  };
  if (Message.m_ProtocolVersion >> MajorShift != ProtocolMajor) {
    return Fail(makeError("FATAL", SqlStateUnsupported,
                          "only protocol version 3 is supported"));
  }
  // As in PostgreSQL, the database defaults to the user's name.
  const std::string Database = Parameter("database");
  m_Entry = EntryName(Database.empty() ? Parameter("user") : Database);
  if (m_Hooks.m_IsDraining()) {
    return Fail(makeResultError(ResultCode::NotRunDraining, "", "FATAL"));
  }
  // Until the catalogue has arrived, an unknown name is not reported as such:
  // other hosts may serve the entry.
  if (!m_Hooks.m_HasCatalogue()) {
    return Fail(makeResultError(ResultCode::NotRunNoLease,
                                "this host has not received the catalogue yet",
                                "FATAL"));
  }
  const auto Entry = m_Hooks.m_FindEntry(m_Entry);
  if (Entry == nullptr) {
    return Fail(makeResultError(m_Hooks.m_MissingEntryCode(), m_Entry.value(),
                                "FATAL"));
  }
  PgParameters Settings = Message.m_Options;
  Settings.insert(Message.m_Parameters.begin(), Message.m_Parameters.end());
  for (const auto &[Name, Value] : Settings) {
    if (!Name.starts_with(SettingPrefix)) {
      continue;
    }
    const std::string Fault =
        applySetting(Name.substr(SettingPrefix.size()), Value);
    if (!Fault.empty()) {
      return Fail(makeError("FATAL", SqlStateBadValue, Fault));
    }
  }
  if (Entry->m_RequiresKey) {
    m_AwaitsKey = true;
    Writer.authenticationCleartextPassword();
    write(Bytes, false);
    return true;
  }
  finishStartup();
  return true;
}

void CallerConnection::finishStartup() {
  m_HasStarted = true;
  std::string Bytes;
  PgMessageWriter Writer(Bytes);
  Writer.authenticationOk();
  Writer.parameterStatus("server_version", "15.0 (ragwortmux)");
  Writer.parameterStatus("server_encoding", "UTF8");
  Writer.parameterStatus("client_encoding", "UTF8");
  Writer.parameterStatus("standard_conforming_strings", "on");
  Writer.parameterStatus("DateStyle", "ISO, MDY");
  Writer.parameterStatus("integer_datetimes", "on");
  Writer.backendKeyData(m_ProcessId, m_SecretKey);
  Writer.readyForQuery(PgTransactionStatus::Idle);
  write(Bytes, false);
}

bool CallerConnection::handle(const PgSslRequest &) {
  std::string Bytes;
  PgMessageWriter(Bytes).encryptionRefused();
  write(Bytes, false);
  return true;
}

bool CallerConnection::handle(const PgGssEncRequest &) {
  return handle(PgSslRequest());
}

bool CallerConnection::handle(const PgCancelRequest &Message) {
  m_CancelRequest = Message;
  close();
  return false;
}

bool CallerConnection::handle(const PgQuery &Message) {
  if (m_AwaitsKey) {
    return handle(PgUnsupported{'Q'});
  }
  // A transaction uses the entry with which it began until it ends.
  const auto Entry = m_Status == TransactionStatus::Idle
                         ? m_Hooks.m_FindEntry(m_Entry)
                         : m_TransactionEntry;
  if (Entry != nullptr && !identify(*Entry)) {
    endForLostKey();
    return false;
  }
  const auto Set = parsePgSetStatement(Message.m_Sql);
  return Set ? handleSet(*Set) : submit(Message.m_Sql, Entry);
}

bool CallerConnection::handle(const PgTerminate &) {
  close();
  return false;
}

bool CallerConnection::handle(PgPassword &Message) {
  const bool IsExpected = std::exchange(m_AwaitsKey, false);
  if (IsExpected) {
    m_KeyDigest = digestKey(Message.m_Text);
  }
  clearText(Message.m_Text);
  if (!IsExpected) {
    return handle(PgUnsupported{'p'});
  }
  // The entry may have changed since the caller was asked for its key.
  const auto Entry = m_Hooks.m_FindEntry(m_Entry);
  if (Entry == nullptr) {
    closeWith(m_Hooks.m_MissingEntryCode());
    return false;
  }
  if (m_Hooks.m_IsDraining()) {
    closeWith(ResultCode::NotRunDraining);
    return false;
  }
  if (!identify(*Entry)) {
    closeWith(m_Hooks.m_RefuseKey(m_Entry, {}));
    return false;
  }
  finishStartup();
  return true;
}

/// Looks up the workspace of the caller's key. False if \p Entry requires a key
/// and no workspace has this one, or in a transaction another one than before.
bool CallerConnection::identify(const CatalogueEntry &Entry) {
  if (!Entry.m_RequiresKey) {
    m_Workspace = WorkspaceId();
    return true;
  }
  const auto Holder = m_Hooks.m_FindWorkspace(m_KeyDigest);
  const bool IsInTransaction = m_Status != TransactionStatus::Idle;
  if (Holder == nullptr || (IsInTransaction && Holder->m_Name != m_Workspace)) {
    return false;
  }
  m_Workspace = Holder->m_Name;
  return true;
}

void CallerConnection::endForLostKey() {
  const ResultCode Code = m_Hooks.m_RefuseKey(m_Entry, m_Workspace);
  if (m_Status != TransactionStatus::Idle) {
    // The transaction is rolled back now and not when the caller has read the
    // error, because a caller that reads nothing would keep its locks.
    m_Hooks.m_CallerDisconnected(m_Id, m_TransactionEntry->m_Group);
    m_Status = TransactionStatus::Idle;
    m_TransactionEntry = nullptr;
  }
  closeWith(Code);
}

bool CallerConnection::noticeLostKey() {
  if (m_Workspace.value().empty()) {
    return false;
  }
  const auto Holder = m_Hooks.m_FindWorkspace(m_KeyDigest);
  const bool IsLost = Holder == nullptr || Holder->m_Name != m_Workspace;
  const bool IsNew = IsLost && !m_HasNoticedLostKey;
  m_HasNoticedLostKey = IsLost;
  return IsNew;
}

bool CallerConnection::handle(const PgUnsupported &Message) {
  constexpr char SyncType = 'S';
  constexpr char FlushType = 'H';
  if (m_AwaitsKey) {
    std::string Refusal;
    PgMessageWriter(Refusal).errorResponse(
        makeError("FATAL", SqlStateProtocol, "a password was expected"));
    write(Refusal, true);
    return false;
  }
  // The extended protocol skips all messages between an error and the next
  // Sync, so answering only the Sync reports one error for the whole sequence.
  if (Message.m_Type == FlushType) {
    return true;
  }
  std::string Bytes;
  PgMessageWriter Writer(Bytes);
  if (Message.m_Type == SyncType) {
    Writer.errorResponse(
        makeError("ERROR", SqlStateUnsupported,
                  "only simple queries are supported, not the extended "
                  "protocol, COPY or function calls"));
    Writer.readyForQuery(toPgStatus(m_Status));
    write(Bytes, false);
    return true;
  }
  constexpr std::string_view ExtendedTypes = "PBEDC";
  if (ExtendedTypes.find(Message.m_Type) != std::string_view::npos) {
    return true;
  }
  Writer.errorResponse(makeError("FATAL", SqlStateProtocol,
                                 "this message type is not supported"));
  write(Bytes, true);
  return false;
}

bool CallerConnection::handleSet(const PgSetStatement &Statement) {
  const std::string Fault = applySetting(Statement.m_Name, Statement.m_Value);
  std::string Bytes;
  PgMessageWriter Writer(Bytes);
  if (Fault.empty()) {
    Writer.commandComplete(Statement.m_Value ? "SET" : "RESET");
  } else {
    Writer.errorResponse(makeError("ERROR", SqlStateBadValue, Fault));
  }
  Writer.readyForQuery(toPgStatus(m_Status));
  write(Bytes, false);
  return true;
}

std::string
CallerConnection::applySetting(const std::string &Name,
                               const std::optional<std::string> &Value) {
  const std::string Text = Value.value_or("");
  if (Text.size() > MaxNameBytes && Name != "token") {
    return "ragwortmux." + Name + " is too long";
  }
  if (Name == "session") {
    m_Session = SessionName(Text);
    return "";
  }
  if (Name == "token") {
    auto Token = SessionToken::parse(Text);
    if (!Token) {
      return "ragwortmux.token is not a token issued by this proxy";
    }
    m_Token = std::move(*Token);
    return "";
  }
  if (Name == "request_key") {
    m_Key = Text.empty() ? std::nullopt : std::optional(RequestKey(Text));
    return "";
  }
  if (Name == "max_age_ms") {
    std::uint32_t Milliseconds = 0;
    const char *End = Text.data() + Text.size();
    const auto Parsed = std::from_chars(Text.data(), End, Milliseconds);
    if (Value && (Parsed.ec != std::errc() || Parsed.ptr != End)) {
      return "ragwortmux.max_age_ms must be a whole number of milliseconds";
    }
    m_MaxAge =
        Value ? std::optional<Duration>(std::chrono::milliseconds(Milliseconds))
              : std::nullopt;
    return "";
  }
  return "unknown setting ragwortmux." + Name;
}

bool CallerConnection::submit(
    const std::string &Sql,
    const std::shared_ptr<const CatalogueEntry> &Entry) {
  if (Entry == nullptr) {
    refuse(m_Hooks.m_MissingEntryCode(), m_Entry.value());
    return true;
  }
  m_TransactionEntry = Entry;
  m_PendingRequest = std::make_unique<PendingRequest>();
  m_PendingRequest->m_Request = RequestId(m_Hooks.m_NextId());
  m_PendingRequest->m_Entry = Entry;
  m_PendingRequest->m_Arrived = monotonicNow();
  m_PendingRequest->m_Bytes = Sql.size();
  GroupRequest Request;
  Request.m_Id = m_PendingRequest->m_Request;
  Request.m_Caller = m_Id;
  Request.m_Entry = Entry;
  Request.m_Workspace = m_Workspace;
  Request.m_Sql = Sql;
  Request.m_Token = m_Token.find(Entry->m_Group);
  Request.m_Session = scopeToWorkspace(m_Workspace, m_Session);
  Request.m_Key = m_Key;
  Request.m_MaxAge = m_MaxAge;
  Request.m_Arrived = m_PendingRequest->m_Arrived;
  m_Hooks.m_Submit(std::move(Request));
  return true;
}

void CallerConnection::answer(const Answer &Response) {
  if (m_Closed || !m_PendingRequest ||
      m_PendingRequest->m_Request != Response.m_Request) {
    return;
  }
  const GroupId &Group = m_PendingRequest->m_Entry->m_Group;
  ResultCode Code = Response.m_Code;
  // Final check: regardless of earlier decisions, the lease must be valid at
  // the time at which the acknowledgement is written.
  if (Response.m_NeedsLease &&
      !m_Hooks.m_CanAcknowledge(Group, *Response.m_NeedsLease)) {
    Code = ResultCode::OutcomeUnknownTermEnded;
  }
  std::string Bytes;
  PgMessageWriter Writer(Bytes);
  const bool HasBody = Response.m_Body != nullptr && !Response.m_Body->empty();
  if (Code == ResultCode::Ok || (Code == ResultCode::RanEarlier && HasBody)) {
    if (Response.m_Token) {
      m_Token.raise(Group, *Response.m_Token);
      writeToken(Writer);
    }
    if (HasBody) {
      Bytes += *Response.m_Body;
    }
  } else {
    Writer.errorResponse(makeResultError(Code, Response.m_Reason, "ERROR"));
  }
  m_Status = Response.m_Status;
  Writer.readyForQuery(toPgStatus(m_Status));
  write(Bytes, false);
  completeRequest(Code, m_Status);
}

void CallerConnection::completeRequest(ResultCode Code,
                                       TransactionStatus Status) {
  m_Hooks.m_Answered(*m_PendingRequest->m_Entry, Code,
                     monotonicNow() - m_PendingRequest->m_Arrived);
  m_PendingRequest = nullptr;
  if (Status == TransactionStatus::Idle) {
    m_TransactionEntry = nullptr;
  }
  if (m_Draining) {
    drain();
    return;
  }
  // Further input is handled on a later turn of the loop, so that long
  // pipelines do not recurse.
  if (m_Reader.bufferedBytes() > 0) {
    m_Loop.after(Duration(0), [Weak = weak_from_this()] {
      const auto Self = Weak.lock();
      if (Self && !Self->m_Closed) {
        Self->resume();
      }
    });
  }
  reportUsage();
}

void CallerConnection::cancel(std::uint32_t SecretKey) {
  if (SecretKey != m_SecretKey || !m_PendingRequest || m_Closed) {
    return;
  }
  m_Hooks.m_CallerDisconnected(m_Id, m_PendingRequest->m_Entry->m_Group);
  // The group has removed the old id; late answers to it are dropped.
  m_Id = CallerConnectionId(m_Hooks.m_NextId());
  std::string Bytes;
  PgMessageWriter Writer(Bytes);
  // A cancelled write may have run; a read has no effect in either case.
  const bool IsOutcomeUnknown = isWrite(*m_PendingRequest->m_Entry);
  if (IsOutcomeUnknown) {
    Writer.errorResponse(makeResultError(ResultCode::OutcomeUnknown,
                                         "cancelled by the caller", "ERROR"));
  } else {
    Writer.errorResponse(
        makeError("ERROR", SqlStateCancelled, "cancelled by the caller"));
  }
  m_Status = TransactionStatus::Idle;
  Writer.readyForQuery(PgTransactionStatus::Idle);
  write(Bytes, false);
  completeRequest(ResultCode::OutcomeUnknown, TransactionStatus::Idle);
}

void CallerConnection::closeWith(ResultCode Code) {
  if (m_Closed) {
    return;
  }
  std::string Bytes;
  PgMessageWriter(Bytes).errorResponse(makeResultError(Code, "", "FATAL"));
  write(Bytes, true);
}

void CallerConnection::drain() {
  m_Draining = true;
  if (!m_PendingRequest && m_Status == TransactionStatus::Idle) {
    closeWith(ResultCode::NotRunDraining);
  }
}

std::optional<RequestId> CallerConnection::pendingRequest() const {
  return m_PendingRequest ? std::optional(m_PendingRequest->m_Request)
                          : std::nullopt;
}

void CallerConnection::refuse(ResultCode Code, const std::string &Reason) {
  std::string Bytes;
  PgMessageWriter Writer(Bytes);
  Writer.errorResponse(makeResultError(Code, Reason, "ERROR"));
  Writer.readyForQuery(toPgStatus(m_Status));
  write(Bytes, false);
}

void CallerConnection::writeToken(PgMessageWriter &Writer) {
  std::string Token = m_Token.format();
  if (Token == m_ReportedToken) {
    return;
  }
  Writer.parameterStatus("ragwortmux.token", Token);
  m_ReportedToken = std::move(Token);
}

void CallerConnection::write(const std::string &Bytes, bool CloseAfter) {
  m_Output += Bytes;
  m_CloseAfterWrite = m_CloseAfterWrite || CloseAfter;
  if (!m_Writing) {
    flush();
  }
}

void CallerConnection::flush() {
  if (m_Closed || m_Output.empty()) {
    if (m_CloseAfterWrite) {
      close();
    }
    return;
  }
  m_Writing = true;
  const auto Bytes = std::make_shared<std::string>(std::exchange(m_Output, {}));
  m_BytesInWrite = Bytes->size();
  const auto Self = shared_from_this();
  m_Loop.spawn(
      kj::evalNow([&] { return m_Stream->write(Bytes->data(), Bytes->size()); })
          .then(
              [this, Self, Bytes] {
                m_Writing = false;
                m_BytesInWrite = 0;
                ++m_WritesDone;
                flush();
                reportUsage();
              },
              [this, Self](kj::Exception &&) { close(); }));
}

void CallerConnection::checkPeer() {
  if (!m_Closed && hasPeerClosed(*m_Stream)) {
    close();
  }
}

void CallerConnection::closeForLimit(std::string_view Limit) {
  logDebug(Part::Caller, "Closed a caller for {}.", Limit);
  close();
}

void CallerConnection::close() {
  if (m_Closed) {
    return;
  }
  m_Closed = true;
  const bool InTransaction = m_Status != TransactionStatus::Idle;
  if (m_PendingRequest || InTransaction) {
    const auto &Entry =
        m_PendingRequest ? m_PendingRequest->m_Entry : m_TransactionEntry;
    m_Hooks.m_CallerDisconnected(m_Id, Entry->m_Group);
  }
  // Abort the pending read, so that it releases its reference to this object.
  const auto Failure = kj::runCatchingExceptions([this] {
    m_Stream->abortRead();
    m_Stream->shutdownWrite();
  });
  KJ_IF_MAYBE (Error, Failure) {
    logDebug(Part::Caller, "The connection was already closed: {}.",
             Error->getDescription().cStr());
  }
  m_Hooks.m_Closed();
  m_PendingRequest = nullptr;
}

} // namespace ragwortmux
