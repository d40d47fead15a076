#ifndef RAGWORTMUX_PROCESS_ENTRY_STATEMENTLOG_H
#define RAGWORTMUX_PROCESS_ENTRY_STATEMENTLOG_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Request/SessionEvents.h"

#include <cstdint>

namespace ragwortmux {

class CatalogueCache;
class Metrics;

/// Logs what was decided about the statements of stateful sessions, and counts
/// it.
///
/// A refusal, a retry and an unknown outcome get a line each, with the inputs
/// that decided. Ordinary successes would fill the log under load, so they are
/// summed up in one line now and then.
class StatementLog final {
public:
  /// The ordinary decisions since the last summary.
  struct Summary final {
    std::uint64_t m_Sent = 0;         ///< Statements sent to servers.
    std::uint64_t m_Answered = 0;     ///< Answers passed on.
    std::uint64_t m_FromReplicas = 0; ///< Of these, reads at replicas.
    Duration m_LongestWait{0};        ///< Longest time before a statement was
                                      ///< sent.
  };

  StatementLog(Metrics &Figures, const CatalogueCache &Entries)
      : m_Metrics(Figures), m_Catalogue(Entries) {}

  /// Takes one decision about a statement of \p Group.
  void note(const GroupId &Group, const SessionDecisionRecord &Note);
  /// Writes the summary, unless nothing happened, and begins the next one.
  void writeSummary();

  const Summary &summary() const { return m_Summary; }

private:
  void count(const SessionDecisionRecord &Note);
  void writeLine(const GroupId &Group, const SessionDecisionRecord &Note) const;

  Metrics &m_Metrics;                ///< The process's metrics.
  const CatalogueCache &m_Catalogue; ///< Tells the classes of entries.
  Summary m_Summary;                 ///< See summary().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_STATEMENTLOG_H
