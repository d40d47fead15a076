#ifndef RAGWORTMUX_VERSION_BACKENDCALLS_H
#define RAGWORTMUX_VERSION_BACKENDCALLS_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/ControlEvents.h"

#include <cstdint>
#include <map>
#include <optional>

namespace ragwortmux {

class LeaderContext;
struct ServerRecord;

/// Tracks the leader's calls to backend servers. At most one call of each kind
/// per server runs at a time, and a failed call is repeated only after a pause.
class BackendCalls final {
public:
  /// A call that has ended.
  struct Call final {
    GroupId m_Group;                                    ///< The server's group.
    ServerId m_Server;                                  ///< The server.
    BackendCallKind m_Kind = BackendCallKind::Position; ///< Kind of the call.
    Term m_Term; ///< The group's term when the call was made.
    std::uint64_t m_Number =
        0;                 ///< Number of the call; increases with each one.
    Instant m_StartedAt{}; ///< When the call was made.
  };

  explicit BackendCalls(LeaderContext &Context) : m_Context(Context) {}

  void reset();
  /// Starts a call, unless one of the same kind to the server is running or has
  /// just failed. \p Primary is the server to follow.
  void start(BackendCallKind Kind, const GroupId &Group,
             const ServerRecord &Server, Term CurrentTerm, Instant Now,
             const ServerRecord *Primary = nullptr);
  /// The number of the last call.
  std::uint64_t last() const { return m_LastCall; }
  /// Handles the result of a call. Returns the call, or none if it is no longer
  /// tracked.
  std::optional<Call> complete(const BackendCallResult &Result, Instant Now);

private:
  struct Target final {
    GroupId m_Group;        ///< The server's group.
    ServerId m_Server;      ///< The server.
    BackendCallKind m_Kind; ///< Kind of the call.
    friend auto operator<=>(const Target &, const Target &) = default;
  };

  struct Status final {
    std::uint64_t m_Running = 0; ///< Number of the running call; 0: none.
    Term m_Term;                 ///< The group's term at the last call.
    Instant m_StartedAt{};       ///< When the last call was started.
    bool m_Failed = false;       ///< True if the last completed call failed.
    Instant m_FailedAt{};        ///< When the last completed call ended.
  };

  bool canStart(const Status &Current, Term CurrentTerm, Instant Now) const;

  LeaderContext &m_Context;           ///< Shared.
  std::uint64_t m_LastCall = 0;       ///< Number of the last call.
  std::map<Target, Status> m_Targets; ///< Status by server and kind of call.
  std::map<std::uint64_t, Target> m_Running; ///< Running calls by number.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_BACKENDCALLS_H
