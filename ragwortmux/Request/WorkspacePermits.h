#ifndef RAGWORTMUX_REQUEST_WORKSPACEPERMITS_H
#define RAGWORTMUX_REQUEST_WORKSPACEPERMITS_H

#include "ragwortmux/Version/PermitMessages.h"
#include "ragwortmux/Version/ProxyLease.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ragwortmux {

/// Whether an operation of a workspace may be sent to a server.
enum class PermitDecision : std::uint8_t {
  Granted, ///< A permit is there, or none is needed.
  Wait,    ///< Control is being asked for one.
  Refused, ///< The workspace has reached its limit, or control is silent.
};

/// A request for permits, to be sent to the control leader.
struct PermitRequest final {
  std::uint64_t m_Number = 0;          ///< Names the request in its answer.
  std::vector<PermitDemand> m_Demands; ///< One for each workspace.
};

/// A workspace has started or stopped being limited on this host.
struct WorkspaceLimitChange final {
  WorkspaceId m_Workspace;     ///< The workspace.
  bool m_IsLimited = false;    ///< It has just had an operation refused.
  std::uint64_t m_Refused = 0; ///< Refusals since it started.
  Duration m_Length{0};        ///< Time since it started.
};

/// Permits of limited workspaces on one entry host: holds those that the
/// control leader has granted until they expire, and decides when to ask for
/// more.
///
/// Deterministic: each function takes the current time of a clock that also
/// advances while the host is suspended. One request is in flight at a time. A
/// grant counts only as the answer to that request and once, and its validity
/// counts from when the request was sent: the leader may have issued it any
/// time since then.
class WorkspacePermits final {
public:
  /// Callbacks of the owner.
  struct Hooks final {
    /// The rate limit of a workspace in operations a second; 0: none.
    std::function<std::uint32_t(const WorkspaceId &Workspace)> m_Rate;
    /// Called once when nextRequest() is to be called.
    std::function<void()> m_RequestWanted;
  };

  WorkspacePermits(const DriftBound &Drift, Hooks Callbacks);

  /// True if operations of \p Workspace need permits.
  bool isLimited(Instant Now, const WorkspaceId &Workspace);
  /// Counts an operation that has arrived. Refused if it would be refused in
  /// any case; it must not be queued then.
  PermitDecision arrived(Instant Now, const WorkspaceId &Workspace);
  /// Decides on an operation that could be sent now; changes nothing.
  PermitDecision check(Instant Now, const WorkspaceId &Workspace) const;
  /// Takes a permit for an operation that is sent now; check() must have said
  /// Granted.
  void take(Instant Now, const WorkspaceId &Workspace);
  /// An operation that could be sent waits for a permit.
  void beginWait(Instant Now, const WorkspaceId &Workspace);
  /// Ends the wait of one operation.
  void endWait(const WorkspaceId &Workspace);
  /// Counts an operation that was refused.
  void refused(Instant Now, const WorkspaceId &Workspace);

  /// True if no leader has answered requests for some time, so that operations
  /// are refused although their workspaces may be below their limits.
  bool isControlSilent(Instant Now) const;

  /// The next request to send, if permits are wanted and none is in flight.
  std::optional<PermitRequest> nextRequest(Instant Now);
  /// The leader has answered request \p Number. False if it is not the one in
  /// flight.
  bool answered(Instant Now, std::uint64_t Number, const PermitGrants &Grants);
  /// Request \p Number was lost or not answered by a leader.
  void failed(Instant Now, std::uint64_t Number);

  /// Expires permits and asks for spare ones; to be called every TickInterval
  /// while isActive().
  void tick(Instant Now);
  static constexpr Duration TickInterval = std::chrono::milliseconds(50);
  /// True while a limited workspace was served in the last seconds.
  bool isActive() const { return !m_Workspaces.empty(); }
  /// Workspaces that have started or stopped being limited since the last call.
  std::vector<WorkspaceLimitChange> takeLimitChanges();

  std::uint64_t grantedCount() const { return m_GrantedCount; }
  std::uint64_t refusedCount() const { return m_RefusedCount; }
  std::uint64_t expiredCount() const { return m_ExpiredCount; }
  std::uint64_t requestCount() const { return m_LastNumber; }

private:
  /// Permits with the same expiry.
  struct Batch final {
    Instant m_Expiry;            ///< The permits may be used before this.
    std::uint32_t m_Permits = 0; ///< Those left.
  };
  /// State of a workspace that was served in the last seconds.
  struct State final {
    std::deque<Batch> m_Batches;  ///< Permits, those that expire first first.
    std::uint32_t m_Held = 0;     ///< Sum of m_Batches.
    std::uint32_t m_Waiting = 0;  ///< Operations that wait for a permit.
    Instant m_RefusedUntil;       ///< The leader has none until then.
    bool m_IsPlenty = false;      ///< The leader had spare permits left.
    Instant m_LastArrival;        ///< When an operation last arrived.
    Instant m_SlotStart;          ///< Start of the current slot of arrivals.
    std::uint32_t m_Arrivals = 0; ///< Arrivals in the current slot.
    std::uint32_t m_Previous = 0; ///< Arrivals in the slot before.
    bool m_IsLimited = false;     ///< Some were refused a short time ago.
    Instant m_LimitedSince;       ///< When m_IsLimited became true.
    Instant m_LastRefusal;        ///< When one was last refused.
    std::uint64_t m_Refusals = 0; ///< Refusals since m_LimitedSince.
  };

  std::uint32_t expectedArrivals(Instant Now, const State &Current,
                                 Duration Length) const;
  std::uint32_t usablePermits(Instant Now, const State &Current) const;
  void expirePermits(Instant Now, State &Current);
  bool isRunningLow(Instant Now, const State &Current) const;
  void wantRequest(Instant Now);
  PermitDemand demandOf(Instant Now, const WorkspaceId &Workspace,
                        const State &Current) const;

  DriftBound m_Drift; ///< Bound on the drift between clocks.
  Hooks m_Hooks;      ///< Callbacks of the owner.
  std::unordered_map<WorkspaceId, State> m_Workspaces; ///< By name.
  bool m_IsEnforced = true;       ///< False if control has said so.
  Instant m_NextEnforcementProbe; ///< When control is asked again whether.
  bool m_IsWanted = false;        ///< nextRequest() has something to send.
  std::uint64_t m_LastNumber = 0; ///< Number of the newest request.
  std::optional<std::uint64_t> m_InFlight;  ///< Request without an answer.
  std::vector<WorkspaceId> m_Asked;         ///< Workspaces of that request.
  Instant m_SentAt;                         ///< When it was sent.
  std::optional<Instant> m_UnansweredSince; ///< When the first request was sent
                                            ///< that no leader answered since.
  Instant m_NotBefore;    ///< Earliest time of the next request.
  Duration m_Validity{0}; ///< Validity of the newest grant.
  std::vector<WorkspaceLimitChange> m_Changes; ///< See takeLimitChanges().
  std::uint64_t m_GrantedCount = 0; ///< Operations that took a permit.
  std::uint64_t m_RefusedCount = 0; ///< Operations refused.
  std::uint64_t m_ExpiredCount = 0; ///< Permits that expired unused.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_WORKSPACEPERMITS_H
