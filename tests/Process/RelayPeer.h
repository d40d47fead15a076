#ifndef TESTS_PROCESS_RELAYPEER_H
#define TESTS_PROCESS_RELAYPEER_H

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Peers/RpcServer.h"
#include "ragwortmux/Process/Support/Secret.h"
#include "ragwortmux/Request/SessionEvents.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ragwortmux {

/// A serving entry process for tests of RelayLink: an RpcServer on an event
/// loop and a thread of its own. The test gives the answers.
class RelayPeer final {
public:
  using Answer = std::function<void(SessionAnswer)>;

  /// Listens on \p Port of the loopback interface (0: any). Without \p Serves
  /// it has no handler of relayed statements.
  explicit RelayPeer(const std::string &ClusterKey, std::uint16_t Port = 0,
                     bool Serves = true);
  ~RelayPeer();
  RelayPeer(const RelayPeer &) = delete;
  RelayPeer &operator=(const RelayPeer &) = delete;

  std::uint16_t port() const { return m_Port; }
  /// Answers the statement number \p Index of all that arrived.
  void answer(std::size_t Index, SessionAnswer Value);
  /// Blocks the event loop, so that the connections stay open and silent.
  void block();
  void unblock();

  /// Number of statements that arrived.
  std::size_t statements() const;
  /// The statement number \p Index and the connection that it came over.
  SessionRequest statement(std::size_t Index) const;
  RelayPeerId connectionOf(std::size_t Index) const;
  /// What happened, in order: `run CALLER`, `left CALLER`, `closed`.
  std::vector<std::string> events() const;
  /// Ended connections in order.
  std::vector<RelayPeerId> closed() const;

private:
  struct Arrival final {
    RelayPeerId m_Peer;       ///< The connection.
    SessionRequest m_Request; ///< The statement.
    Answer m_Answer;          ///< Gives its answer; called on the event loop.
  };

  RpcServerHooks hooks();

  Secret m_Key;                      ///< The cluster key.
  IoLoop *m_Loop = nullptr;          ///< Loop of m_Thread.
  std::uint16_t m_Port = 0;          ///< Where it listens.
  mutable std::mutex m_Mutex;        ///< Guards the following members.
  std::vector<Arrival> m_Arrivals;   ///< All statements.
  std::vector<std::string> m_Events; ///< See events().
  std::vector<RelayPeerId> m_Closed; ///< See closed().
  std::mutex m_Blocker;              ///< Held while the loop is to block.
  std::thread m_Thread;              ///< Runs the event loop.
};

} // namespace ragwortmux

#endif // TESTS_PROCESS_RELAYPEER_H
