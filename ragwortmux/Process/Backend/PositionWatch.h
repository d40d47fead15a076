#ifndef RAGWORTMUX_PROCESS_BACKEND_POSITIONWATCH_H
#define RAGWORTMUX_PROCESS_BACKEND_POSITIONWATCH_H

#include "ragwortmux/Process/Backend/BackendConnection.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace ragwortmux {

/// Monitors the log position of one backend server over one connection, by
/// querying for the next position after the last known one. Short control calls
/// can be run on the same connection.
class PositionWatch final : public std::enable_shared_from_this<PositionWatch> {
public:
  /// Callbacks of the owner, called on the event loop.
  struct Hooks final {
    /// Reports the log position \p Point and the role of the server, in answer
    /// to a query sent at \p AskedAt.
    std::function<void(const LogPoint &Point, bool IsPrimary, Instant AskedAt)>
        m_Sampled;
    /// Called when the connection failed; it is opened again after a pause.
    std::function<void()> m_Failed;
    /// Returns true if one more connection may be opened now.
    std::function<bool()> m_MayConnect;
  };
  /// Receives the result of a call; no value if the call could not be made.
  using CallReply = std::function<void(std::optional<StatementResult> Result)>;

  PositionWatch(IoLoop &Loop, BackendConnectionSettings Settings,
                Hooks Callbacks);
  ~PositionWatch();
  PositionWatch(const PositionWatch &) = delete;
  PositionWatch &operator=(const PositionWatch &) = delete;

  /// Opens the connection.
  void start();
  /// Closes the connection; no further hooks are called.
  void stop();
  /// Runs \p Sql after the running query and all earlier calls.
  void call(std::string Sql, CallReply Reply);

  /// True while a connection is open or being opened.
  bool holdsConnection() const { return m_Connection != nullptr; }

private:
  struct Call;
  void connect();
  void next();
  void ask();
  void answered(StatementResult Result);
  void failed();
  void armSilenceTimer();

  IoLoop &m_Loop;                       ///< The event loop.
  BackendConnectionSettings m_Settings; ///< Address and parameters.
  Hooks m_Hooks;                        ///< The owner's hooks.
  std::shared_ptr<BackendConnection>
      m_Connection;             ///< Null while not connected.
  std::deque<Call> m_Calls;     ///< Calls not started yet.
  CallReply m_RunningCall;      ///< Set while a call is running.
  LogPosition m_Known;          ///< The last reported position.
  Instant m_AskedAt;            ///< When the query was sent.
  std::uint64_t m_Exchange = 0; ///< Number of the current query or call.
  bool m_Stopped = false;       ///< stop() was called.
};

/// A control call that was not started yet.
struct PositionWatch::Call final {
  std::string m_Sql; ///< The statement.
  CallReply m_Reply; ///< Receives the result.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_BACKEND_POSITIONWATCH_H
