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

/// The calls to backend servers that the leader has made: one at a time of each
/// kind per server, and a pause after a failure.
class BackendCalls final {
public:
  /// One call.
  struct Call final {
    GroupId m_Group;                                    ///< The server's group.
    ServerId m_Server;                                  ///< The server.
    BackendCallKind m_Kind = BackendCallKind::Position; ///< Which function.
    Term m_Term;                ///< The group's term when it was made.
    std::uint64_t m_Number = 0; ///< Rises with each call.
  };

  explicit BackendCalls(LeaderContext &Context) : m_Context(Context) {}

  void reset();
  /// Makes a call unless one of the kind runs, or failed just now. \p Primary
  /// is whom to follow.
  void start(BackendCallKind Kind, const GroupId &Group,
             const ServerRecord &Server, Term CurrentTerm, Instant Now,
             const ServerRecord *Primary = nullptr);
  /// The number of the last call.
  std::uint64_t last() const { return m_LastCall; }
  /// A call ended; returns what it was, unless it is not known any more.
  std::optional<Call> complete(const BackendCallResult &Result, Instant Now);

private:
  struct Target final {
    GroupId m_Group;        ///< The server's group.
    ServerId m_Server;      ///< The server.
    BackendCallKind m_Kind; ///< Which function.
    friend auto operator<=>(const Target &, const Target &) = default;
  };

  struct Status final {
    std::uint64_t m_Running = 0; ///< The running call; 0: none.
    Term m_Term;                 ///< Its term.
    Instant m_StartedAt{};       ///< When it was made.
    bool m_Failed = false;       ///< The last one that ended failed.
    Instant m_FailedAt{};        ///< When.
  };

  bool mayStart(const Status &Known, Term CurrentTerm, Instant Now) const;

  LeaderContext &m_Context;                  ///< Shared.
  std::uint64_t m_LastCall = 0;              ///< Last id given out.
  std::map<Target, Status> m_Targets;        ///< By server and function.
  std::map<std::uint64_t, Target> m_Running; ///< Calls that have not ended.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_BACKENDCALLS_H
