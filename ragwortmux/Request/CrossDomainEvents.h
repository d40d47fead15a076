#ifndef RAGWORTMUX_REQUEST_CROSSDOMAINEVENTS_H
#define RAGWORTMUX_REQUEST_CROSSDOMAINEVENTS_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <optional>

/// \file
/// Input and output types of CrossDomainPolicy.

namespace ragwortmux {

/// A read that CrossDomainPolicy decides on.
struct CrossDomainRead final {
  EntryName m_Entry;               ///< Catalogue entry, for the expected bytes.
  WorkspaceId m_Workspace;         ///< Workspace; empty: none.
  std::uint32_t m_Priority = 0;    ///< Priority; 0 is the highest.
  std::uint64_t m_TextBytes = 0;   ///< Size of the statement.
  Instant m_Arrived;               ///< Arrival time.
  std::optional<Instant> m_LateAt; ///< When it misses its latency target, if it
                                   ///< has one.
  Instant m_Deadline;              ///< Latest time for the answer.
};

/// Why a read stays in the failure domain or leaves it.
enum class CrossDomainReason : std::uint8_t {
  BelowPrice,    ///< Stays: it saves less than its bytes cost.
  NoForeign,     ///< Stays: no foreign server can take it now.
  ShareUsed,     ///< Stays: the current share of reads that leave is used up.
  PriorityWaits, ///< Stays: reads of higher priorities use the share.
  ShareLimit,    ///< Stays: the limit on the share is reached.
  ByteLimit,     ///< Stays: the limit on bytes per second is reached.
  Saves,         ///< Leaves: it saves more than its bytes cost.
  WouldBeLate,   ///< Leaves: only abroad is it answered in time.
  NotServedNear, ///< Leaves: no server of the failure domain can serve it.
};

/// Decision about one read, with its inputs.
struct CrossDomainVerdict final {
  CrossDomainReason m_Reason = CrossDomainReason::BelowPrice; ///< Why.
  std::optional<ServerId> m_Server; ///< Where it should run; none if no server
                                    ///< is allowed.
  bool m_IsFar = false;             ///< m_Server is outside the failure domain.
  bool m_IsReady = false;   ///< A connection to m_Server is free; otherwise the
                            ///< read waits.
  bool m_HasReason = false; ///< It leaves, or would but for a limit.
  Duration m_NearTime{0};   ///< Expected time in the failure domain.
  Duration m_FarTime{0};    ///< Expected time at the foreign server.
  Duration m_Price{0};      ///< Waiting time that its bytes are worth.
  std::uint64_t m_Bytes = 0; ///< Expected bytes of the statement and its reply.
};

/// Why the share of reads that leave the failure domain, or its limit, has
/// changed.
enum class CrossDomainChangeReason : std::uint8_t {
  NearSlower, ///< Reads would save more than their bytes cost.
  FarRefuses, ///< A foreign server had no room.
  FarHasRoom, ///< No foreign server has refused for a while.
  NearFine,   ///< No read has had a reason to leave for a while.
};

/// Log record of one change of the share, with its inputs.
struct CrossDomainChange final {
  CrossDomainChangeReason m_Reason =
      CrossDomainChangeReason::NearSlower; ///< Why.
  double m_Before = 0;                     ///< Share before.
  double m_Share = 0;                      ///< Share from now on.
  double m_LimitBefore = 0; ///< Limit on the share of urgent reads before.
  double m_Limit = 0;       ///< That limit from now on.
  std::uint32_t m_WithReason = 0; ///< Reads with a reason to leave since the
                                  ///< last step.
  std::uint32_t m_Left = 0;    ///< Reads that left since refusals were judged.
  std::uint32_t m_Refused = 0; ///< Of these, refused for lack of a slot.
  Duration m_NearTime{0};      ///< Expected times of the last read that had
  Duration m_FarTime{0};       ///< a reason to leave.
};

/// Totals for metrics.
struct CrossDomainCounts final {
  std::uint64_t m_Near = 0;     ///< Reads sent inside the failure domain.
  std::uint64_t m_Far = 0;      ///< Reads sent outside of it.
  std::uint64_t m_FarBytes = 0; ///< Bytes of the latter, with their replies.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_CROSSDOMAINEVENTS_H
