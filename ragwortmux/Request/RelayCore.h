#ifndef RAGWORTMUX_REQUEST_RELAYCORE_H
#define RAGWORTMUX_REQUEST_RELAYCORE_H

#include "ragwortmux/Connection/ChooseGroupHosts.h"
#include "ragwortmux/Request/RelayEvents.h"
#include "ragwortmux/Request/RelayRouter.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace ragwortmux {

/// Time limits and identity of a RelayCore.
struct RelayCoreSettings final {
  RelayRouterSettings m_Router; ///< Identity of this host; choice of hosts.
  Duration m_AnswerMargin = std::chrono::milliseconds(
      100); ///< How long after its deadline a statement waits for its answer.
  std::size_t m_MaxTries =
      MaxGroupHostsPerDomain; ///< Limit of hosts that a statement is sent to.
};

/// Decision logic of an entry host for the statements that it relays to other
/// entry hosts: which host gets each statement, and what a refusal or a missing
/// answer means for the caller.
///
/// A transaction stays at the host at which it began. Deterministic like
/// SessionCore: each event function takes the current time and appends the
/// resulting actions; late events are ignored.
class RelayCore final {
public:
  explicit RelayCore(const RelayCoreSettings &Settings);
  RelayCore(const RelayCore &) = delete;
  RelayCore &operator=(const RelayCore &) = delete;

  /// Relays a statement. A caller must not submit its next statement before the
  /// previous one was answered.
  void submit(Instant Now, SessionRequest Request, RelayActions &Actions);
  /// \p Host answered the request; an empty \p Reply means that its connection
  /// failed and that it is unknown whether the statement ran.
  void answered(Instant Now, const HostId &Host, RequestId Request,
                const std::optional<SessionAnswer> &Reply,
                RelayActions &Actions);
  /// The connection to \p Host was lost, and with it the transactions there.
  void hostLost(Instant Now, const HostId &Host);
  /// The request has had no answer until expiry().
  void expire(Instant Now, RequestId Request, RelayActions &Actions);
  /// The caller has closed its connection.
  void callerDisconnected(CallerConnectionId Caller, RelayActions &Actions);
  /// Refuses new transactions; open ones may continue.
  void drain() { m_Draining = true; }
  /// Aborts the open transactions that have no statement under way.
  void endTransactions(RelayActions &Actions);

  RelayRouter &router() { return m_Router; }
  /// Time at which expire() must be called for \p Request.
  Instant expiry(const SessionRequest &Request) const;
  /// The group of the relayed transaction of \p Caller; none if it has none.
  std::optional<GroupId> transactionGroup(CallerConnectionId Caller) const;
  /// True if a statement or a transaction of a caller is at \p Host.
  bool isUsing(const HostId &Host) const;
  /// Number of statements that have not been answered.
  std::size_t pending() const { return m_Requests.size(); }
  std::size_t openTransactions() const { return m_Transactions.size(); }

private:
  /// A relayed statement without an answer.
  struct State final {
    SessionRequest m_Request;     ///< As submitted.
    GroupId m_Group;              ///< Its group.
    HostId m_Host;                ///< Host it was last sent to.
    std::vector<HostId> m_Avoid;  ///< Hosts that failed to run it.
    bool m_InTransaction = false; ///< Runs in its caller's open transaction.
    std::uint32_t m_Tries = 0;    ///< Number of times it was sent.
  };
  /// A caller's open transaction at another host.
  struct Transaction final {
    HostId m_Host;         ///< Host at which it runs.
    GroupId m_Group;       ///< Its group.
    bool m_Wrote = false;  ///< It has sent a write.
    bool m_IsLost = false; ///< It was rolled back with its connection.
  };

  void submitInTransaction(Instant Now, State &Pending, Transaction &Open,
                           RelayActions &Actions);
  void send(Instant Now, State &Pending, const HostId &Host,
            RelayActions &Actions);
  bool tryNextHost(Instant Now, State &Pending, ResultCode Reason,
                   RelayActions &Actions);
  void handleLost(Instant Now, State &Pending, RelayActions &Actions);
  ResultCode lostCode(const State &Pending) const;
  void forward(Instant Now, const State &Pending, SessionAnswer Reply,
               RelayActions &Actions);
  void finish(Instant Now, const State &Pending, ResultCode Code,
              RelayActions &Actions);
  static void recordDecision(Instant Now, const State &Pending,
                             SessionDecision Decision, ResultCode Code,
                             RelayActions &Actions);

  RelayCoreSettings m_Settings;          ///< Limits.
  RelayRouter m_Router;                  ///< Chooses hosts.
  bool m_Draining = false;               ///< drain() was called.
  std::map<RequestId, State> m_Requests; ///< Unanswered statements.
  std::map<CallerConnectionId, Transaction>
      m_Transactions; ///< Open transactions at other hosts.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_RELAYCORE_H
