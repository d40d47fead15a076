#ifndef RAGWORTMUX_PROCESS_ENTRY_LEASELOG_H
#define RAGWORTMUX_PROCESS_ENTRY_LEASELOG_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// Writes log lines about an entry process's lease: when it was lost, and when
/// it was granted again.
class LeaseLog final {
public:
  /// Control host \p Host answered a renewal or the opening of a session with
  /// \p Answer, the name of a result code or `no_answer`.
  void answered(const std::string &Host, std::string Answer);
  /// The lease was extended to \p ValidUntil, which may have passed already.
  void granted(Instant Now, Instant ValidUntil);
  /// Writes a line if the lease that is valid until \p ValidUntil has run out.
  /// To be called at each renewal.
  void check(Instant Now, Instant ValidUntil);

private:
  bool m_HasLease = false;           ///< The last line says so.
  Instant m_GrantedAt{};             ///< Last grant.
  Instant m_LostAt{};                ///< When the last lease was lost.
  std::uint64_t m_FailedAnswers = 0; ///< Answers without a grant since then.
  std::string m_LastHost;            ///< Host of the last answer.
  std::string m_LastAnswer = "none"; ///< Last answer without a grant.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_LEASELOG_H
