#ifndef RAGWORTMUX_VERSION_CONTROLSTATEDATA_H
#define RAGWORTMUX_VERSION_CONTROLSTATEDATA_H

#include "ragwortmux/Version/CatalogueRecords.h"
#include "ragwortmux/Version/GroupRecord.h"
#include "ragwortmux/Version/LedgerRecord.h"
#include "ragwortmux/Version/SessionHomeLists.h"
#include "ragwortmux/Version/SessionRecord.h"
#include "ragwortmux/Version/ShareRecord.h"
#include "ragwortmux/Version/VoterRecord.h"

#include <vector>

namespace ragwortmux {

/// The whole replicated state as plain data, for snapshots.
struct ControlStateData final {
  WallTime m_Time{};              ///< The log's time.
  CatalogueData m_Catalogue;      ///< The catalogue.
  ControlSessionId m_LastSession; ///< The last session id that was assigned.
  std::vector<SessionRecord> m_Sessions; ///< Open sessions, by id.
  std::vector<GroupRecord> m_Groups;     ///< Groups, by id.
  std::vector<ShareRecord> m_Shares;     ///< Shares, by group, server, session.
  std::vector<LedgerRecord> m_Ledger;    ///< Request ledger, by owner and key.
  std::vector<VoterRecord> m_Voters;     ///< Voters, for display.
  SessionHomeLists m_Homes;              ///< Session homes.

  friend bool operator==(const ControlStateData &,
                         const ControlStateData &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CONTROLSTATEDATA_H
