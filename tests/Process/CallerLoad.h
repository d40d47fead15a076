#ifndef TESTS_PROCESS_CALLERLOAD_H
#define TESTS_PROCESS_CALLERLOAD_H

#include "Cluster.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ragwortmux {

/// Callers that book and read in the background: each books a row with a
/// request key until it is acknowledged, and then reads it at the next host.
class CallerLoad final {
public:
  /// One caller at each of \p Hosts, at once.
  CallerLoad(const Cluster &System, std::vector<unsigned> Hosts);
  ~CallerLoad();
  CallerLoad(const CallerLoad &) = delete;
  CallerLoad &operator=(const CallerLoad &) = delete;

  /// Ends the callers and waits for them.
  void stop();
  /// How many bookings have been acknowledged and read back.
  unsigned served() const { return m_Served; }
  /// What no caller may see: answers that are not its own, bookings that were
  /// not served in time, errors of reads.
  std::string faults();

private:
  void run(unsigned Caller, unsigned Host);
  void note(const std::string &Fault);

  const Cluster &m_System;             ///< Where the requests go.
  const std::vector<unsigned> m_Hosts; ///< Hosts that are used.
  std::atomic<bool> m_Stopped = false; ///< The callers are to end.
  std::atomic<unsigned> m_Served = 0;  ///< See served().
  std::mutex m_Mutex;                  ///< Guards m_Faults.
  std::string m_Faults;                ///< See faults().
  std::vector<std::thread> m_Threads;  ///< The callers.
};

} // namespace ragwortmux

#endif // TESTS_PROCESS_CALLERLOAD_H
