#ifndef TESTS_STANDIN_STANDINREPLICATIONRECEIVER_H
#define TESTS_STANDIN_STANDINREPLICATIONRECEIVER_H

#include "tests/StandIn/StandInWire.h"

#include "ragwortmux/Core/Time.h"

#include <kj/async-io.h>

#include <deque>

namespace ragwortmux::standin {

class StandInServer;

/// Replicates the log of a primary and applies it, late if the switches say so.
/// Connects again whenever the stream ends.
class StandInReplicationReceiver final {
public:
  explicit StandInReplicationReceiver(StandInServer &Server);

  /// Replicates from the primary of \p StreamTerm there. Keeps the stream if it
  /// is the same one.
  void follow(Term StreamTerm, const std::string &Address, std::uint16_t Port);
  /// Ends the stream and drops what has not been applied.
  void stop();

private:
  struct Received final {
    Instant m_At;            ///< When it arrived.
    StandInLogEntry m_Entry; ///< The entry.
  };

  kj::Promise<void> connectLoop();
  kj::Promise<void> connect();
  kj::Promise<void> readFrames();
  kj::Promise<void> readBytes(std::size_t Count);
  void take(StandInFrame Frame);
  kj::Promise<void> applyLoop();

  StandInServer &m_Server;               ///< Owner of the log.
  Term m_Term;                           ///< Term of the stream.
  std::string m_Address;                 ///< Address of the primary.
  std::uint16_t m_Port = 0;              ///< Port of the primary; 0: no stream.
  std::uint64_t m_Generation = 0;        ///< See silentGeneration().
  kj::Own<kj::AsyncIoStream> m_Stream;   ///< The stream.
  std::string m_Bytes;                   ///< Bytes read last.
  std::deque<Received> m_Received;       ///< Not applied yet.
  kj::Promise<void> m_Reading = nullptr; ///< Connects and reads.
  kj::Promise<void> m_Applying = nullptr; ///< Applies.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINREPLICATIONRECEIVER_H
