#ifndef RAGWORTMUX_PROCESS_ENTRY_STATEMENTLOG_H
#define RAGWORTMUX_PROCESS_ENTRY_STATEMENTLOG_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Request/CrossDomainEvents.h"
#include "ragwortmux/Request/RelayEvents.h"

#include <cstdint>
#include <map>

namespace ragwortmux {

class CatalogueCache;
class Metrics;

/// Logs the decisions about the statements of stateful sessions and updates the
/// metrics about them.
///
/// Each refusal, retry, failure and unknown outcome is logged on a line of its
/// own, with the inputs of the decision. Successful statements would flood the
/// log under load, so they are only included in a periodic summary.
class StatementLog final {
public:
  /// Counts since the last summary; failures are logged individually.
  struct Summary final {
    std::uint64_t m_Sent = 0;         ///< Statements sent to servers.
    std::uint64_t m_Answered = 0;     ///< Successful answers.
    std::uint64_t m_FromReplicas = 0; ///< Of these, reads served by replicas.
    Duration m_LongestWait{0};        ///< Longest time before a statement was
                                      ///< sent.
  };

  StatementLog(Metrics &ProcessMetrics, const CatalogueCache &Catalogue)
      : m_Metrics(ProcessMetrics), m_Catalogue(Catalogue) {}

  /// Logs and counts one decision about a statement of \p Group.
  void record(const GroupId &Group, const SessionDecisionRecord &Record);
  /// Logs and counts one decision about a statement that this host relays.
  void recordRelayed(const RelayDecisionRecord &Record);
  /// Logs the refusal of a caller or of \p Statement, which is empty for a
  /// caller that connects, because the catalogue has no entry \p Entry.
  void recordMissingEntry(const EntryName &Entry, const StatementId &Statement,
                          ResultCode Code, Duration LeaseLeft) const;
  /// The same, because no workspace holds the caller's key.
  void recordUnknownKey(const EntryName &Entry, const StatementId &Statement,
                        ResultCode Code, Duration LeaseLeft) const;
  /// Logs that another share of the reads of \p Group may leave the failure
  /// domain.
  void recordCrossDomain(const GroupId &Group,
                         const CrossDomainChange &Change) const;
  /// Counts the reads of \p Group by failure domain; \p Counts are totals.
  void countCrossDomain(const GroupId &Group, const CrossDomainCounts &Counts,
                        double Share);
  /// Logs the summary unless it is empty, and resets it.
  void writeSummary();

  const Summary &summary() const { return m_Summary; }

private:
  void recordRefusedCaller(std::string_view Text, const EntryName &Entry,
                           const StatementId &Statement, ResultCode Code,
                           Duration LeaseLeft) const;
  void count(const SessionDecisionRecord &Record);
  void writeLine(const GroupId &Group,
                 const SessionDecisionRecord &Record) const;

  Metrics &m_Metrics;                ///< The process's metrics.
  const CatalogueCache &m_Catalogue; ///< For the traffic classes of entries.
  Summary m_Summary;                 ///< See summary().
  std::map<GroupId, CrossDomainCounts>
      m_Counted; ///< Totals of countCrossDomain() that the metrics include.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_STATEMENTLOG_H
