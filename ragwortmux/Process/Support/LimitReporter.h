#ifndef RAGWORTMUX_PROCESS_SUPPORT_LIMITREPORTER_H
#define RAGWORTMUX_PROCESS_SUPPORT_LIMITREPORTER_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace ragwortmux {

class Metrics;
enum class Part : std::uint8_t;

/// Counts how often clients have reached limits, and logs it at most once a
/// second for each limit.
class LimitReporter final {
public:
  /// \p ProcessMetrics may be null.
  LimitReporter(Part From, Metrics *ProcessMetrics)
      : m_From(From), m_Metrics(ProcessMetrics) {}

  /// Reports that a client has reached \p Limit. \p Decision is what follows,
  /// `paused`, `closed` or `refused`; \p Bytes is what was held for the client.
  void report(std::string_view Limit, std::string_view Decision,
              std::size_t Bytes, Instant Now);

private:
  struct Reported final {
    Instant m_LoggedAt{};         ///< When the last line was written.
    std::uint64_t m_Unlogged = 0; ///< Hits since then.
    bool m_IsLogged = false;      ///< A line was written.
  };

  Part m_From;                                   ///< Part that logs.
  Metrics *m_Metrics;                            ///< Counts the hits.
  std::map<std::string_view, Reported> m_Limits; ///< By limit; the names are
                                                 ///< literals.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_LIMITREPORTER_H
