#ifndef BENCH_MEASURE_PROCESSUSAGE_H
#define BENCH_MEASURE_PROCESSUSAGE_H

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace ragwortmux {

/// Processor time and memory of one process.
struct ProcessUsage final {
  std::string m_Name;                ///< Host or server id.
  double m_ProcessorSeconds = 0;     ///< User and system time, s.
  std::uint64_t m_ResidentBytes = 0; ///< Current resident memory.
  std::uint64_t m_PeakBytes = 0;     ///< Peak of the resident memory.
  std::uint64_t m_IoBytes = 0; ///< Transferred by read(), write() and related
                               ///< calls, which libpq does not use.
};

/// Reads the usage of process \p Id from /proc; zeros if it does not exist.
ProcessUsage readProcessUsage(std::string Name, pid_t Id);

} // namespace ragwortmux

#endif // BENCH_MEASURE_PROCESSUSAGE_H
