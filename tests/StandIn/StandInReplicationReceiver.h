#ifndef TESTS_STANDIN_STANDINREPLICATIONRECEIVER_H
#define TESTS_STANDIN_STANDINREPLICATIONRECEIVER_H

#include "tests/StandIn/StandInWire.h"

#include "ragwortmux/Core/Time.h"

#include <kj/async-io.h>

#include <deque>

namespace ragwortmux::standin {

class StandInServer;

/// Receives the log of a primary and applies it to the store of a replica, with
/// the delay of the fault `lag_ms`. Reconnects when the stream ends.
class StandInReplicationReceiver final {
public:
  explicit StandInReplicationReceiver(StandInServer &Server);

  /// Replicates from the primary of \p StreamTerm at the address. Does nothing
  /// if it already does so.
  void follow(Term StreamTerm, const std::string &Address, std::uint16_t Port);
  /// Ends the stream and discards received entries that were not applied.
  void stop();

private:
  struct ReceivedEntry final {
    Instant m_ReceivedAt;    ///< Time of receipt.
    StandInLogEntry m_Entry; ///< Entry to apply.
  };

  kj::Promise<void> connectLoop();
  kj::Promise<void> connect();
  kj::Promise<void> readFrames();
  kj::Promise<void> readBytes(std::size_t Count);
  void handleFrame(StandInFrame Frame);
  kj::Promise<void> applyLoop();

  StandInServer &m_Server;        ///< Server whose store is the replica.
  Term m_Term;                    ///< Term of the stream.
  std::string m_Address;          ///< Address of the primary.
  std::uint16_t m_Port = 0;       ///< Port of the primary; 0: no stream.
  std::uint64_t m_Generation = 0; ///< silentGeneration() at the connection.
  kj::Own<kj::AsyncIoStream> m_Stream;     ///< Connection to the primary.
  std::string m_Bytes;                     ///< Bytes being read or written.
  std::deque<ReceivedEntry> m_Received;    ///< Entries to apply, in order.
  kj::Promise<void> m_ReadTask = nullptr;  ///< Runs connectLoop().
  kj::Promise<void> m_ApplyTask = nullptr; ///< Runs applyLoop().
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINREPLICATIONRECEIVER_H
