#ifndef TESTS_STANDIN_STANDINREPLICATIONSENDER_H
#define TESTS_STANDIN_STANDINREPLICATIONSENDER_H

#include "tests/StandIn/StandInWire.h"

#include <kj/async.h>

#include <functional>

namespace ragwortmux::standin {

class StandInServer;

/// Sends the log to one replica for as long as the server is primary of the
/// stream's term.
class StandInReplicationSender final {
public:
  /// Writes bytes to the replica.
  using SendHook = std::function<kj::Promise<void>(std::string)>;

  StandInReplicationSender(StandInServer &Server, Term StreamTerm,
                           SendHook Send);

  /// Sends what a replica with a log of the given shape lacks, then whatever
  /// is committed. Resolves when the stream is over.
  kj::Promise<void> run(const std::vector<StandInTermRun> &Runs);

private:
  kj::Promise<void> sendNext();
  bool isValid() const;

  StandInServer &m_Server;  ///< Owner of the log.
  Term m_Term;              ///< Term of the stream.
  SendHook m_Send;          ///< See SendHook.
  std::uint64_t m_Sent = 0; ///< Position of the last entry sent.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINREPLICATIONSENDER_H
