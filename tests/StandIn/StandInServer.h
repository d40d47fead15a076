#ifndef TESTS_STANDIN_STANDINSERVER_H
#define TESTS_STANDIN_STANDINSERVER_H

#include "tests/StandIn/StandInAnnouncer.h"
#include "tests/StandIn/StandInContext.h"
#include "tests/StandIn/StandInJournal.h"
#include "tests/StandIn/StandInReplicationReceiver.h"
#include "tests/StandIn/StandInSignal.h"

#include <kj/async-io.h>

#include <fstream>

namespace ragwortmux::standin {

class StandInConnection;

/// Accepts the connections of one server and holds what they share.
class StandInServer final : private kj::TaskSet::ErrorHandler {
public:
  StandInServer(StandInSettings Settings, kj::Network &Network,
                kj::Timer &Timer);
  ~StandInServer() noexcept(false);
  KJ_DISALLOW_COPY(StandInServer);

  /// Starts to accept connections on the loopback interface, and to announce.
  void listen();
  /// Becomes a replica of the primary of \p NewTerm there; false if refused.
  bool follow(Term NewTerm, const std::string &Address, std::uint16_t Port);
  /// Takes up what a journal file holds and keeps it up to date; false if it
  /// holds nothing.
  bool restore(const std::string &File);
  /// Runs statements outside of any connection; false if one fails.
  bool runLocally(const std::string &Sql);

  /// Resolves at the next change of the store or the switches, at the latest at
  /// \p Deadline.
  kj::Promise<void> waitForChange(Instant Deadline);
  /// Wakes everybody who waits for a change.
  void notifyChange() { m_Changed.notify(); }
  /// Cancels the statement of another connection.
  void cancelStatement(std::uint32_t ProcessId, std::uint32_t SecretKey);
  /// Carries out the switches that wait until their own answer is sent.
  void applyDelayedFaults();

  /// The time of the event loop.
  Instant now() const;
  StandInContext &context() { return m_Context; }
  kj::Timer &timer() { return m_Timer; }
  kj::Network &network() { return m_Network; }
  std::uint16_t port() const { return m_Port; }
  /// Connections opened before the last rise of this number are silent.
  std::uint64_t silentGeneration() const { return m_SilentGeneration; }

private:
  struct OpenConnection final {
    kj::Own<StandInConnection> m_Connection; ///< The connection.
    kj::Promise<void> m_Task = nullptr;      ///< Its work; ends it.
  };

  void taskFailed(kj::Exception &&Exception) override;
  kj::Promise<void> acceptLoop();
  void open(kj::Own<kj::AsyncIoStream> Stream);
  void endSession(const std::string &Attempt);
  void record(const StandInLogEntry &Entry);

  kj::Network &m_Network;   ///< To listen and to connect.
  kj::Timer &m_Timer;       ///< Time of the event loop.
  StandInSignal m_Changed;  ///< Changes of the store.
  StandInContext m_Context; ///< Shared by the sessions.
  StandInJournal m_Journal; ///< Changes of the store; may be closed.
  std::ofstream m_Record;   ///< Commits; may be closed.
  kj::Own<kj::ConnectionReceiver> m_Receiver;     ///< The listening socket.
  std::uint16_t m_Port = 0;                       ///< Port listened on.
  std::uint32_t m_LastProcessId = 0;              ///< Last connection number.
  std::uint64_t m_SilentGeneration = 0;           ///< See silentGeneration().
  std::map<std::uint32_t, OpenConnection> m_Open; ///< By connection number.
  StandInReplicationReceiver m_Replication;       ///< As a replica.
  StandInAnnouncer m_Announcer;                   ///< Announcements.
  kj::TaskSet m_Tasks;                            ///< Accepting; removals.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSERVER_H
