#ifndef TESTS_PROCESS_CALLERLOAD_H
#define TESTS_PROCESS_CALLERLOAD_H

#include "Cluster.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ragwortmux {

/// Generates load in background threads. Each caller sends a booking with a
/// request key until it is acknowledged, then reads the row through the host of
/// the next caller.
class CallerLoad final {
public:
  /// Starts one caller per element of \p Hosts; a host may occur repeatedly.
  CallerLoad(const Cluster &System, std::vector<unsigned> Hosts);
  ~CallerLoad();
  CallerLoad(const CallerLoad &) = delete;
  CallerLoad &operator=(const CallerLoad &) = delete;

  /// Stops the callers and waits for their threads.
  void stop();
  /// Number of bookings that were acknowledged and then read.
  unsigned completedBookings() const { return m_CompletedBookings; }
  /// Errors that callers observed, one per line: answers of other requests,
  /// bookings not acknowledged in time, failed reads. Empty if there were none.
  std::string observedErrors();

private:
  void run(unsigned Caller, unsigned Host);
  void recordError(const std::string &Error);

  const Cluster &m_System;                       ///< Cluster under load.
  const std::vector<unsigned> m_Hosts;           ///< Host of each caller.
  std::atomic<bool> m_StopRequested = false;     ///< Tells the callers to stop.
  std::atomic<unsigned> m_CompletedBookings = 0; ///< See completedBookings().
  std::mutex m_Mutex;                            ///< Guards m_ObservedErrors.
  std::string m_ObservedErrors;                  ///< See observedErrors().
  std::vector<std::thread> m_Threads;            ///< One thread per caller.
};

} // namespace ragwortmux

#endif // TESTS_PROCESS_CALLERLOAD_H
