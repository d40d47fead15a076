#ifndef RAGWORTMUX_PROCESS_ENTRY_CALLERCONNECTION_H
#define RAGWORTMUX_PROCESS_ENTRY_CALLERCONNECTION_H

#include "ragwortmux/Connection/CallerBudget.h"
#include "ragwortmux/Connection/Codec/PgMessageReader.h"
#include "ragwortmux/Connection/SessionToken.h"
#include "ragwortmux/Process/Loop/ReadBuffer.h"
#include "ragwortmux/Request/GroupEvents.h"

#include <kj/async-io.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortmux {

class IoLoop;
class PgMessageWriter;
struct Workspace;
struct PgSetStatement;

/// Callbacks from a caller's connection into its process, called on the event
/// loop.
struct CallerHooks final {
  /// Returns the catalogue entry \p Name; null if there is none.
  std::function<std::shared_ptr<const CatalogueEntry>(const EntryName &Name)>
      m_FindEntry;
  /// Returns true once the catalogue is known.
  std::function<bool()> m_HasCatalogue;
  /// Returns why a request is refused whose entry m_FindEntry does not find:
  /// without a lease the catalogue may be outdated.
  std::function<ResultCode()> m_MissingEntryCode;
  /// Returns the workspace that holds the caller key \p Key; null if none does.
  std::function<std::shared_ptr<const Workspace>(const KeyDigest &Key)>
      m_FindWorkspace;
  /// Records that a caller of \p Entry is refused because no workspace holds
  /// its key, which belonged to \p Previous until now; empty for a caller that
  /// connects. Returns the result code: without a lease the catalogue may be
  /// outdated.
  std::function<ResultCode(const EntryName &Entry, const WorkspaceId &Previous)>
      m_RefuseKey;
  /// Passes a request to its group; CallerConnection::answer() receives the
  /// answer.
  std::function<void(GroupRequest Request)> m_Submit;
  /// Called when \p Caller has disconnected or cancelled its request to
  /// \p Group.
  std::function<void(CallerConnectionId Caller, const GroupId &Group)>
      m_CallerDisconnected;
  /// Returns true if an acknowledgement that needs a valid lease in term
  /// \p RequiredTerm may be written now.
  std::function<bool(const GroupId &Group, Term RequiredTerm)> m_CanAcknowledge;
  /// Returns a new id for a request or for a caller.
  std::function<std::uint64_t()> m_NextId;
  /// Returns true while the process is draining.
  std::function<bool()> m_IsDraining;
  /// Called when a request of \p Entry was answered after \p Took.
  std::function<void(const CatalogueEntry &Entry, ResultCode Code,
                     Duration Took)>
      m_Answered;
  /// Reports what is held for this caller.
  std::function<void(const CallerUsage &Usage)> m_Used;
  /// Returns false if this caller must not be read from;
  /// CallerConnection::resume() is called later.
  std::function<bool()> m_MayRead;
  /// Called when the connection was closed; it may be destroyed on a later turn
  /// of the loop.
  std::function<void()> m_Closed;
};

/// One caller's connection: the server side of the PostgreSQL protocol.
///
/// Used on the event loop's thread only. At most one request is pending;
/// further messages of the caller wait until it is answered.
class CallerConnection final
    : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(IoLoop &Loop, kj::Own<kj::AsyncIoStream> Stream,
                   std::uint32_t ProcessId, std::uint32_t SecretKey,
                   PgMessageReaderSettings Limits, CallerHooks Hooks);
  ~CallerConnection();
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  /// Starts to read messages.
  void start();
  /// Answers the pending request.
  void answer(const Answer &Response);
  /// Cancels the pending request if \p SecretKey is that of this connection.
  void cancel(std::uint32_t SecretKey);
  /// Sends \p Code to the caller as a fatal error and closes the connection.
  void closeWith(ResultCode Code);
  /// Reads again after CallerHooks::m_MayRead has returned false.
  void resume();
  /// Closes the connection if the peer has closed it.
  void checkPeer();
  /// Closes the connection because it has reached the setting \p Limit.
  void closeForLimit(std::string_view Limit);
  /// Closes the connection once no request is pending and no transaction is
  /// open.
  void drain();

  /// True if the session's key no longer belongs to its workspace, and this
  /// function has not returned true for this loss of the key before.
  bool noticeLostKey();
  /// The workspace that the caller's key belonged to when it was last used;
  /// empty if the entry needs none or the key has not been accepted yet.
  const WorkspaceId &workspace() const { return m_Workspace; }
  /// The digest of the caller's key; empty if it has sent none.
  const KeyDigest &keyDigest() const { return m_KeyDigest; }
  /// Id of the pending request, if any.
  std::optional<RequestId> pendingRequest() const;
  /// The id that identifies this caller to the groups.
  CallerConnectionId id() const { return m_Id; }
  /// The process id that was sent in BackendKeyData.
  std::uint32_t processId() const { return m_ProcessId; }
  /// The CancelRequest, if the connection was opened to send one.
  const std::optional<PgCancelRequest> &cancelRequest() const {
    return m_CancelRequest;
  }

private:
  struct PendingRequest;
  void read();
  void readIfAllowed();
  void reportUsage();
  void handleInput();
  bool handle(const PgStartup &Message);
  bool handle(const PgSslRequest &Message);
  bool handle(const PgGssEncRequest &Message);
  bool handle(const PgCancelRequest &Message);
  bool handle(const PgQuery &Message);
  bool handle(const PgTerminate &Message);
  bool handle(PgPassword &Message);
  bool handle(const PgUnsupported &Message);
  bool handleSet(const PgSetStatement &Statement);
  void finishStartup();
  bool identify(const CatalogueEntry &Entry);
  void endForLostKey();
  std::string applySetting(const std::string &Name,
                           const std::optional<std::string> &Value);
  bool submit(const std::string &Sql,
              const std::shared_ptr<const CatalogueEntry> &Entry);
  void refuse(ResultCode Code, const std::string &Reason);
  void completeRequest(ResultCode Code, TransactionStatus Status);
  void writeToken(PgMessageWriter &Writer);
  void write(const std::string &Bytes, bool CloseAfter);
  void flush();
  void close();

  IoLoop &m_Loop;                      ///< The event loop.
  kj::Own<kj::AsyncIoStream> m_Stream; ///< The socket.
  std::uint32_t m_ProcessId;           ///< Sent in BackendKeyData.
  std::uint32_t m_SecretKey;           ///< Authorizes a CancelRequest.
  PgMessageReader m_Reader;            ///< Splits the input into messages.
  CallerHooks m_Hooks;                 ///< Callbacks of the process.
  CallerConnectionId m_Id;             ///< Replaced after a cancel.
  EntryName m_Entry;                   ///< Name of the catalogue entry.
  KeyDigest m_KeyDigest;               ///< See keyDigest().
  WorkspaceId m_Workspace;             ///< See workspace().
  SessionName m_Session;               ///< Setting ragwortmux.session.
  SessionToken m_Token;                ///< Setting ragwortmux.token.
  std::string m_ReportedToken;         ///< Token last sent to the caller.
  std::optional<RequestKey> m_Key;     ///< Setting ragwortmux.request_key.
  std::optional<Duration> m_MaxAge;    ///< Setting ragwortmux.max_age_ms.
  TransactionStatus m_Status =
      TransactionStatus::Idle; ///< As last reported to the caller.
  std::shared_ptr<const CatalogueEntry>
      m_TransactionEntry; ///< Entry of the open transaction.
  std::unique_ptr<PendingRequest> m_PendingRequest; ///< Null if none.
  std::optional<PgCancelRequest> m_CancelRequest;   ///< See cancelRequest().
  ReadBuffer m_Buffer;                              ///< Receives input.
  std::string m_Output;                             ///< Bytes not written yet.
  std::size_t m_BytesInWrite = 0;   ///< Bytes of the write in progress.
  std::uint64_t m_WritesDone = 0;   ///< Number of finished writes.
  std::uint64_t m_MessagesRead = 0; ///< Number of messages handled.
  bool m_IsReading = false;         ///< A read is in progress.
  bool m_Writing = false;           ///< A write is in progress.
  bool m_CloseAfterWrite = false;   ///< Close after the output was written.
  bool m_AwaitsKey = false;         ///< The caller was asked for its key.
  bool m_HasStarted = false;        ///< The session has started.
  bool m_HasNoticedLostKey = false; ///< See noticeLostKey().
  bool m_Closed = false;            ///< close() was called.
  bool m_Draining = false;          ///< drain() was called.
};

/// A request that was not answered yet.
struct CallerConnection::PendingRequest final {
  RequestId m_Request;                           ///< Id of the request.
  std::shared_ptr<const CatalogueEntry> m_Entry; ///< Its catalogue entry.
  Instant m_Arrived;                             ///< Time of arrival.
  std::size_t m_Bytes = 0;                       ///< Size of its statement.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_CALLERCONNECTION_H
