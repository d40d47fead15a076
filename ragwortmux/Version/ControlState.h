#ifndef RAGWORTMUX_VERSION_CONTROLSTATE_H
#define RAGWORTMUX_VERSION_CONTROLSTATE_H

#include "ragwortmux/Version/Catalogue.h"
#include "ragwortmux/Version/ControlCommand.h"
#include "ragwortmux/Version/ControlResult.h"
#include "ragwortmux/Version/ControlStateData.h"
#include "ragwortmux/Version/GroupTable.h"
#include "ragwortmux/Version/RequestLedger.h"
#include "ragwortmux/Version/SessionTable.h"
#include "ragwortmux/Version/ShareTable.h"

#include <vector>

namespace ragwortmux {

/// The replicated state machine of the control log.
///
/// Applying the same commands in the same order gives the same state and the
/// same results on every voter. A command whose preconditions do not hold
/// changes nothing and is refused with a reason.
class ControlState final {
public:
  /// Bounds of the parts; must be the same on every voter.
  struct Settings final {
    Catalogue::Settings m_Catalogue;  ///< Bounds of the catalogue.
    ShareTable::Settings m_Shares;    ///< Bounds of the shares.
    RequestLedger::Settings m_Ledger; ///< Bounds of the ledger.
  };

  ControlState() : ControlState(Settings()) {}
  explicit ControlState(const Settings &Bounds);

  /// Applies \p Command.
  ControlResult apply(const ControlCommand &Command);

  /// Returns the whole state as plain data, for snapshots.
  ControlStateData exportData() const;
  /// Replaces the whole state.
  void importData(const ControlStateData &Data);

  /// The log's time, which only AdvanceTime changes; the epoch until then.
  WallTime time() const { return m_Time; }
  const Catalogue &catalogue() const { return m_Catalogue; }
  const SessionTable &sessions() const { return m_Sessions; }
  const GroupTable &groups() const { return m_Groups; }
  const ShareTable &shares() const { return m_Shares; }
  const RequestLedger &ledger() const { return m_Ledger; }
  const std::vector<VoterRecord> &voters() const { return m_Voters; }
  const SessionHomeLists &homes() const { return m_Homes; }

private:
  ControlResult applyOne(const PutEntry &Command);
  ControlResult applyOne(const DeleteEntry &Command);
  ControlResult applyOne(const OpenSession &Command);
  ControlResult applyOne(const EndSession &Command);
  ControlResult applyOne(const RegisterServer &Command);
  ControlResult applyOne(const SetServerState &Command);
  ControlResult applyOne(const EndTerm &Command);
  ControlResult applyOne(const OrderPromotion &Command);
  ControlResult applyOne(const AppointPrimary &Command);
  ControlResult applyOne(const SetInSync &Command);
  ControlResult applyOne(const SetShares &Command);
  ControlResult applyOne(const ConfirmShares &Command);
  ControlResult applyOne(const ReserveKey &Command);
  ControlResult applyOne(const RecordOutcome &Command);
  ControlResult applyOne(const ResolveAttempt &Command);
  ControlResult applyOne(const AdvanceTime &Command);
  ControlResult applyOne(const SetVoters &Command);
  ControlResult applyOne(const SetSessionHomes &Command);
  ControlResult applyOne(const ReplaceCatalogue &Command);
  ControlResult applyOne(const PutWorkspace &Command);
  ControlResult applyOne(const DeleteWorkspace &Command);

  /// Copies the addresses of the session homes from the open sessions. Returns
  /// true if the address of a host has appeared or changed.
  bool updateHomeAddresses();

  WallTime m_Time{};                 ///< The log's time.
  Catalogue m_Catalogue;             ///< Catalogue entries.
  SessionTable m_Sessions;           ///< Open control sessions.
  GroupTable m_Groups;               ///< Database groups.
  ShareTable m_Shares;               ///< Connection shares.
  RequestLedger m_Ledger;            ///< Request ledger.
  std::vector<VoterRecord> m_Voters; ///< Voters, for display.
  SessionHomeLists m_Homes;          ///< Session homes.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CONTROLSTATE_H
