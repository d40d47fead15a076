#ifndef RAGWORTMUX_PROCESS_ENTRY_CALLERSERVER_H
#define RAGWORTMUX_PROCESS_ENTRY_CALLERSERVER_H

#include "ragwortmux/Process/Entry/CallerConnection.h"
#include "ragwortmux/Process/Entry/CallerGuard.h"
#include "ragwortmux/Process/Entry/WorkspaceMetrics.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace ragwortmux {

class IoLoop;

/// Limits on callers' connections.
struct CallerServerSettings final {
  std::uint32_t m_MaxCallers = 10000; ///< Maximum number of connections.
  PgMessageReaderSettings m_Reader;   ///< Limits on callers' messages.
  CallerBudgetSettings m_Budget;      ///< Limits on what callers hold.
};

/// Accepts callers and owns their connections.
class CallerServer final {
public:
  /// \p Hooks are passed to the connections; m_NextId, m_IsDraining, m_Used,
  /// m_MayRead and m_Closed are set by this class. \p ProcessMetrics may be
  /// null.
  CallerServer(IoLoop &Loop, CallerServerSettings Settings, CallerHooks Hooks,
               Metrics *ProcessMetrics);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// Listens on \p Address and \p Port, or on any free port if \p Port is 0;
  /// returns the port.
  std::uint16_t listen(const std::string &Address, std::uint16_t Port);

  /// Passes \p Response to the caller of its request, if still connected.
  void answer(const Answer &Response);
  /// Closes the connection of the caller in \p Action.
  void closeCaller(const CloseCaller &Action);
  /// Refuses new callers and transactions; open transactions continue.
  void drain();

  /// Number of callers of each workspace.
  WorkspaceCounts countByWorkspace() const;
  /// Logs the keys that connected callers use and that no longer belong to
  /// their workspaces, each once. \p Catalogue is the revision that took them
  /// away.
  void logLostKeys(Revision Catalogue);

  /// Current number of connections.
  std::size_t size() const { return m_Connections.size(); }

private:
  kj::Promise<void> accept();
  void add(kj::Own<kj::AsyncIoStream> Stream);
  void remove(std::uint32_t ProcessId);
  void cancel(const PgCancelRequest &Request);

  IoLoop &m_Loop;                             ///< The event loop.
  CallerServerSettings m_Settings;            ///< Limits.
  CallerHooks m_Hooks;                        ///< Passed to connections.
  CallerGuard m_Guard;                        ///< Applies the limits.
  kj::Own<kj::ConnectionReceiver> m_Receiver; ///< The listening socket.
  std::map<std::uint32_t, std::shared_ptr<CallerConnection>>
      m_Connections; ///< Connections by process id.
  std::map<RequestId, std::weak_ptr<CallerConnection>>
      m_Requests;                    ///< Callers by pending request.
  std::random_device m_Random;       ///< Generates secret keys.
  std::uint32_t m_LastProcessId = 0; ///< The last assigned process id.
  std::uint64_t m_LastId = 0;        ///< The last assigned request or caller
                                     ///< id.
  bool m_Draining = false;           ///< drain() was called.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_CALLERSERVER_H
