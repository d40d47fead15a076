#ifndef TESTS_STANDIN_STANDINREPLICATIONSENDER_H
#define TESTS_STANDIN_STANDINREPLICATIONSENDER_H

#include "tests/StandIn/StandInWire.h"

#include <kj/async.h>

#include <functional>

namespace ragwortmux::standin {

class StandInServer;

/// Sends the log to one replica while the server is primary in the term of the
/// stream.
class StandInReplicationSender final {
public:
  /// Writes bytes to the replica.
  using SendHook = std::function<kj::Promise<void>(std::string)>;

  StandInReplicationSender(StandInServer &Server, Term StreamTerm,
                           SendHook Send);

  /// Sends the entries that a replica with a log of the given term runs lacks,
  /// then each new entry. Resolves when the server is no longer primary in the
  /// term of the stream.
  kj::Promise<void> run(const std::vector<StandInTermRun> &Runs);

private:
  kj::Promise<void> sendNext();
  bool isPrimaryOfStreamTerm() const;

  StandInServer &m_Server;          ///< Server whose log is sent.
  Term m_Term;                      ///< Term that the replica follows.
  SendHook m_Send;                  ///< Writes to the connection.
  std::uint64_t m_SentPosition = 0; ///< Position of the last entry sent.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINREPLICATIONSENDER_H
