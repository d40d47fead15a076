#ifndef BENCH_MEASURE_PROCESSUSAGE_H
#define BENCH_MEASURE_PROCESSUSAGE_H

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace ragwortmux {

/// Processor time and memory of one process.
struct ProcessUsage final {
  std::string m_Name;                ///< Host or server id.
  double m_ProcessorSeconds = 0;     ///< User and system time.
  std::uint64_t m_ResidentBytes = 0; ///< Resident memory now.
  std::uint64_t m_PeakBytes = 0;     ///< Peak of the resident memory.
  std::uint64_t m_IoBytes = 0; ///< Read and written by read() and write() and
                               ///< their kin, which libpq does not use.
};

/// Reads /proc of process \p Id; zeros if there is none.
ProcessUsage readProcessUsage(std::string Name, pid_t Id);

} // namespace ragwortmux

#endif // BENCH_MEASURE_PROCESSUSAGE_H
