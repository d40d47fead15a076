#ifndef RAGWORTMUX_PROCESS_BACKEND_POSITIONMONITOR_H
#define RAGWORTMUX_PROCESS_BACKEND_POSITIONMONITOR_H

#include "ragwortmux/Process/Backend/BackendConnection.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace ragwortmux {

/// Monitors the log position of one backend server over one connection, by
/// querying for the next position after the last known one. Short control calls
/// can be run on the same connection.
class PositionMonitor final
    : public std::enable_shared_from_this<PositionMonitor> {
public:
  /// Callbacks of the owner, called on the event loop.
  struct Hooks final {
    /// Reports the log position \p Point and the role of the server, in answer
    /// to a query sent at \p QuerySentAt.
    std::function<void(const LogPoint &Point, bool IsPrimary,
                       Instant QuerySentAt)>
        m_Sampled;
    /// Called when the connection failed; it is opened again after a pause.
    std::function<void()> m_Failed;
    /// Returns true if one more connection may be opened now.
    std::function<bool()> m_CanConnect;
  };
  /// Receives the result of a call; no value if the call could not be made.
  using CallReply = std::function<void(std::optional<StatementResult> Result)>;

  PositionMonitor(IoLoop &Loop, BackendConnectionSettings Settings,
                  Hooks Callbacks);
  ~PositionMonitor();
  PositionMonitor(const PositionMonitor &) = delete;
  PositionMonitor &operator=(const PositionMonitor &) = delete;

  /// Opens the connection.
  void start();
  /// Closes the connection; no further hooks are called.
  void stop();
  /// Runs \p Sql after the running query and all earlier calls.
  void call(std::string Sql, CallReply Reply);

  /// True while a connection is open or being opened.
  bool hasConnection() const { return m_Connection != nullptr; }

private:
  struct Call;
  void connect();
  void startNextExchange();
  void sendQuery();
  void handleResult(StatementResult Result);
  void handleFailure();
  void armSilenceTimer();

  IoLoop &m_Loop;                       ///< The event loop.
  BackendConnectionSettings m_Settings; ///< Address and parameters.
  Hooks m_Hooks;                        ///< The owner's hooks.
  std::shared_ptr<BackendConnection>
      m_Connection;             ///< Null while not connected.
  std::deque<Call> m_Calls;     ///< Calls not started yet.
  CallReply m_RunningCall;      ///< Set while a call is running.
  LogPosition m_LastPosition;   ///< The last reported position.
  Instant m_QuerySentAt;        ///< When the query was sent.
  std::uint64_t m_Exchange = 0; ///< Number of the current query or call.
  bool m_Stopped = false;       ///< stop() was called.
};

/// A control call that was not started yet.
struct PositionMonitor::Call final {
  std::string m_Sql; ///< The statement.
  CallReply m_Reply; ///< Receives the result.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_BACKEND_POSITIONMONITOR_H
