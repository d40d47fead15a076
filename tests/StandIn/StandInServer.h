#ifndef TESTS_STANDIN_STANDINSERVER_H
#define TESTS_STANDIN_STANDINSERVER_H

#include "tests/StandIn/StandInAnnouncer.h"
#include "tests/StandIn/StandInChangeNotifier.h"
#include "tests/StandIn/StandInContext.h"
#include "tests/StandIn/StandInJournal.h"
#include "tests/StandIn/StandInReplicationReceiver.h"

#include <kj/async-io.h>

#include <fstream>

namespace ragwortmux::standin {

class StandInConnection;

/// One stand-in backend server: accepts connections, replicates, announces
/// itself, and owns the state that its sessions share.
class StandInServer final : private kj::TaskSet::ErrorHandler {
public:
  StandInServer(StandInSettings Settings, kj::Network &Network,
                kj::Timer &Timer);
  ~StandInServer() noexcept(false);
  KJ_DISALLOW_COPY(StandInServer);

  /// Starts to accept connections on the loopback interface and to send
  /// announcements.
  void listen();
  /// Makes the server a replica of the primary of \p NewTerm at the address;
  /// false if the store refuses the term.
  bool follow(Term NewTerm, const std::string &Address, std::uint16_t Port);
  /// Restores the store from a journal file, resumes the replication that it
  /// names, and appends later changes; false if the file has no content.
  bool restore(const std::string &File);
  /// Runs statements without a connection; false if they do not complete at
  /// once or commit nothing.
  bool runLocally(const std::string &Sql);

  /// Resolves at the next change of the store or the faults, at \p Deadline at
  /// the latest.
  kj::Promise<void> waitForChange(Instant Deadline);
  /// Resolves all promises of waitForChange().
  void notifyChange() { m_Changed.notify(); }
  /// Cancels the statement that the connection \p ProcessId runs. Ignored for
  /// an unknown id or a wrong key.
  void cancelStatement(std::uint32_t ProcessId, std::uint32_t SecretKey);
  /// Applies the faults `silent_connections` and `freeze`, which would suppress
  /// the response to their own statement; called after it was sent.
  void applyDelayedFaults();

  /// The time of the event loop.
  Instant now() const;
  StandInContext &context() { return m_Context; }
  kj::Timer &timer() { return m_Timer; }
  kj::Network &network() { return m_Network; }
  std::uint16_t port() const { return m_Port; }
  /// Number of times that `silent_connections` was applied. A connection that
  /// was accepted at a lower number gets no more responses.
  std::uint64_t silentGeneration() const { return m_SilentGeneration; }

private:
  struct OpenConnection final {
    kj::Own<StandInConnection> m_Connection; ///< Connection to serve.
    kj::Promise<void> m_Task = nullptr;      ///< Runs it; destroyed before it.
  };

  void taskFailed(kj::Exception &&Exception) override;
  kj::Promise<void> acceptLoop();
  void open(kj::Own<kj::AsyncIoStream> Stream);
  void endSession(const std::string &Attempt);
  void recordCommit(const StandInLogEntry &Entry);

  kj::Network &m_Network; ///< For listening and connecting.
  kj::Timer &m_Timer;     ///< Time of the event loop.
  StandInChangeNotifier
      m_Changed;            ///< Signals changes of the store and the faults.
  StandInContext m_Context; ///< State shared by the sessions.
  StandInJournal m_Journal; ///< Open if --data_file is set.
  std::ofstream m_RecordOutput; ///< Record of commits; open if --record is set.
  kj::Own<kj::ConnectionReceiver> m_Receiver; ///< Listening socket.
  std::uint16_t m_Port = 0;                   ///< Port listened on.
  std::uint32_t m_LastProcessId = 0;          ///< Id of the latest connection.
  std::uint64_t m_SilentGeneration = 0;       ///< See silentGeneration().
  std::map<std::uint32_t, OpenConnection> m_OpenConnections; ///< By process id.
  StandInReplicationReceiver
      m_ReplicationReceiver;    ///< Replication from a primary.
  StandInAnnouncer m_Announcer; ///< Sends announcements.
  kj::TaskSet m_Tasks;          ///< Accept loop and removals.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSERVER_H
