#ifndef BENCH_ENTRYHOSTS_HOSTPROCESSES_H
#define BENCH_ENTRYHOSTS_HOSTPROCESSES_H

#include "bench/EntryHosts/ProcessorLimiter.h"
#include "bench/EntryHosts/RunSettings.h"

#include <memory>
#include <string>
#include <vector>

namespace ragwortmux {

class ChildProcess;

/// The control and entry processes of a run.
class HostProcesses final {
public:
  explicit HostProcesses(const RunSettings &Settings);
  ~HostProcesses();
  HostProcesses(const HostProcesses &) = delete;
  HostProcesses &operator=(const HostProcesses &) = delete;

  /// Starts the control processes; false with lastReason() on failure.
  bool startControl();
  /// Starts the entry processes; false with lastReason() on failure.
  bool startEntry();
  /// Limits the processor time of all processes from now on.
  void limit();
  /// Kills control process \p Index.
  void killControl(std::uint32_t Index);
  /// Ends all processes; their logs stay readable.
  void stop();

  /// Address of control process \p Index.
  std::string controlAddress(std::uint32_t Index) const;
  /// Address of entry process \p Index.
  std::string entryAddress(std::uint32_t Index) const;
  /// Processor time of control process \p Index in s.
  double controlSeconds(std::uint32_t Index) const;
  /// Processor time of entry process \p Index in s.
  double entrySeconds(std::uint32_t Index) const;
  /// Log of each process: the control processes first.
  std::vector<std::string> logs() const;
  const std::string &lastReason() const { return m_LastReason; }

private:
  std::unique_ptr<ChildProcess> start(const std::string &Role,
                                      std::uint32_t Index,
                                      std::vector<std::string> Flags);

  RunSettings m_Settings;                               ///< Settings.
  std::vector<std::unique_ptr<ChildProcess>> m_Control; ///< Control processes.
  std::vector<std::unique_ptr<ChildProcess>> m_Entry;   ///< Entry processes.
  ProcessorLimiter m_Limiter;                           ///< See limit().
  std::string m_LastReason;                             ///< See lastReason().
};

} // namespace ragwortmux

#endif // BENCH_ENTRYHOSTS_HOSTPROCESSES_H
