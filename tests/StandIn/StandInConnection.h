#ifndef TESTS_STANDIN_STANDINCONNECTION_H
#define TESTS_STANDIN_STANDINCONNECTION_H

#include "ragwortmux/Connection/Codec/PgMessageReader.h"
#include "tests/StandIn/StandInReplicationSender.h"
#include "tests/StandIn/StandInSession.h"

#include <kj/async-io.h>

#include <array>

namespace ragwortmux::standin {

class StandInServer;

/// Serves one accepted connection: start-up, statements or replication, slots
/// and injected faults.
class StandInConnection final {
public:
  StandInConnection(StandInServer &Server, kj::Own<kj::AsyncIoStream> Stream,
                    std::uint32_t ProcessId);
  ~StandInConnection() noexcept(false);
  KJ_DISALLOW_COPY(StandInConnection);

  /// Reads messages and sends responses until the connection ends.
  kj::Promise<void> run();
  /// The session; null before the end of start-up and for replication.
  StandInSession *session() { return m_Session ? &*m_Session : nullptr; }

private:
  kj::Promise<void> handle(const PgSslRequest &Request);
  kj::Promise<void> handle(const PgGssEncRequest &Request);
  kj::Promise<void> handle(const PgCancelRequest &Request);
  kj::Promise<void> handle(const PgStartup &Startup);
  kj::Promise<void> handle(const PgQuery &Query);
  kj::Promise<void> handle(const PgTerminate &Terminate);
  kj::Promise<void> handle(const PgPassword &Password);
  kj::Promise<void> handle(const PgUnsupported &Message);
  kj::Promise<void> openSession(Term ConnectionTerm,
                                bool KeepsTransactionOnRefusal);
  kj::Promise<void> replicate(const PgQuery &Query);
  kj::Promise<void> stepSession();
  kj::Promise<void> answer(bool SetsFault);
  kj::Promise<void> send(std::string Bytes);
  kj::Promise<void> sendFatal(std::string SqlState, std::string Message);
  kj::Promise<void> discardInput();
  bool acquireSlot();
  void releaseSlot();
  bool isSilent() const;

  StandInServer &m_Server;             ///< Server that accepted the connection.
  kj::Own<kj::AsyncIoStream> m_Stream; ///< Connected socket.
  std::uint32_t m_ProcessId;  ///< Process id and secret key sent to the client.
  std::uint64_t m_Generation; ///< silentGeneration() of the server on accept.
  PgMessageReader m_Reader;   ///< Splits the input into messages.
  std::array<std::byte, 16384>
      m_InputBuffer{}; ///< Buffer for reads from the socket.
  std::optional<StandInSession> m_Session; ///< Set by start-up.
  std::optional<StandInReplicationSender>
      m_Sender;           ///< Set for a replica's connection.
  bool m_HasSlot = false; ///< The connection occupies a statement slot.
  bool m_KeepsTransactionOnRefusal =
      false; ///< An open transaction survives a refusal for lack of a slot.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINCONNECTION_H
