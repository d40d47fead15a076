#ifndef TESTS_STANDIN_STANDINSTATS_H
#define TESTS_STANDIN_STANDINSTATS_H

#include <cstdint>

namespace ragwortmux::standin {

/// Counters of one server since its start, as standin_stats() returns them.
struct StandInStats final {
  std::uint64_t m_ConnectionsOpen = 0; ///< Sessions open now.
  std::uint64_t m_ConnectionsPeak = 0; ///< Highest number of open sessions.
  std::uint64_t m_SlotsInUse = 0;      ///< Statement slots in use now.
  std::uint64_t m_SlotsPeak = 0;       ///< Highest number of slots in use.
  std::uint64_t m_StatementsRun = 0;   ///< Data statements run.
  std::uint64_t m_Refusals = 0;  ///< Refused for lack of a slot or connection.
  std::uint64_t m_Committed = 0; ///< Transactions committed as primary.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSTATS_H
