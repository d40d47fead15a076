#ifndef TESTS_STANDIN_STANDINSTATS_H
#define TESTS_STANDIN_STANDINSTATS_H

#include <cstdint>

namespace ragwortmux::standin {

/// Counters of one server since its start.
struct StandInStats final {
  std::uint64_t m_ConnectionsOpen = 0; ///< Sessions now.
  std::uint64_t m_ConnectionsPeak = 0; ///< Most sessions at a time.
  std::uint64_t m_SlotsTaken = 0;      ///< Statements running now.
  std::uint64_t m_SlotsPeak = 0;       ///< Most statements at a time.
  std::uint64_t m_StatementsRun = 0;   ///< Data statements run.
  std::uint64_t m_Refusals = 0;        ///< Statements or connections refused.
  std::uint64_t m_Committed = 0;       ///< Transactions committed as primary.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSTATS_H
