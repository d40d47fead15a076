#ifndef RAGWORTMUX_REQUEST_GROUPCOUNTS_H
#define RAGWORTMUX_REQUEST_GROUPCOUNTS_H

#include <cstdint>

namespace ragwortmux {

/// Counters of one group, since the start of the process.
struct GroupCounts final {
  std::uint64_t m_Requests = 0;     ///< Requests submitted.
  std::uint64_t m_ReplicaReads = 0; ///< Reads answered by a replica.
  std::uint64_t m_PrimaryReads = 0; ///< Reads answered by the primary.
  std::uint64_t m_Writes = 0;       ///< Writes acknowledged.
  std::uint64_t m_Retries = 0;      ///< Retries after the first try.
  std::uint64_t m_NotCovered = 0;   ///< Answers discarded because they did not
                                    ///< cover the token or were too old.
  std::uint64_t m_ServerFull =
      0; ///< Statements that a server refused because it had no free slot.
  std::uint64_t m_Refused = 0; ///< Requests answered as not run.
  std::uint64_t m_Unknown = 0; ///< Requests answered as outcome unknown.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_GROUPCOUNTS_H
