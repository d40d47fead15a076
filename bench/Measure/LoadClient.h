#ifndef BENCH_MEASURE_LOADCLIENT_H
#define BENCH_MEASURE_LOADCLIENT_H

#include "bench/Measure/RowVersionTracker.h"
#include "bench/Measure/RunRecord.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <thread>

namespace ragwortmux {

class Cluster;
class SessionClient;

/// Settings of the load.
struct LoadSettings final {
  std::uint64_t m_Seed = 1;              ///< Seed of all random numbers.
  std::uint32_t m_ReadWorkers = 24;      ///< Concurrent reads.
  std::uint32_t m_WriteWorkers = 40;     ///< Concurrent writes.
  std::uint32_t m_ProbeIntervalMs = 100; ///< Interval per host and group.
  std::uint32_t m_ResendPercent = 3;     ///< Acknowledged bookings sent again.
  bool m_ReadAtPrimary = false;   ///< Reads use the entry of repeatable writes.
  bool m_UnkeyedBookings = false; ///< Bookings without request keys.
};

/// Runs the seeded open-loop load of a workload on a cluster, and one probe
/// writer per entry host and group. Latency is measured from the scheduled time
/// of a request.
class LoadClient final {
public:
  LoadClient(const Cluster &Target, RunRecord &Record,
             const LoadSettings &Settings);
  LoadClient(const LoadClient &) = delete;
  LoadClient &operator=(const LoadClient &) = delete;
  ~LoadClient();

  /// Starts all threads.
  void start();
  /// Stops the arrivals, finishes the queued requests and joins all threads.
  void stop();
  /// Sets whether the load picks an entry host, as a load balancer does.
  void setHostUsable(std::uint32_t Host, bool Usable);

private:
  using Clock = std::chrono::steady_clock;
  using Random = std::mt19937_64;

  struct Arrival final {
    LoadClass m_Class = LoadClass::AgedRead; ///< Class of the request.
    std::uint32_t m_Group = 0;               ///< Number of the group.
    Clock::time_point m_Due;                 ///< Scheduled time.
  };

  struct Queue final {
    std::mutex m_Lock;               ///< Guards m_Waiting.
    std::condition_variable m_Ready; ///< Signals an arrival or the stop.
    std::deque<Arrival> m_Waiting;   ///< In order of arrival.
  };

  void generateArrivals();
  void runWorker(Queue &From, std::uint64_t Seed);
  void runProbe(std::uint32_t Group, std::uint32_t Host);
  void handle(SessionClient &Client, const Arrival &Given, Random &Numbers);
  void runBooking(SessionClient &Client, const Arrival &Given, Random &Numbers);
  void runWrite(SessionClient &Client, const Arrival &Given, Random &Numbers);
  void runRead(SessionClient &Client, const Arrival &Given, Random &Numbers);
  void checkAnswer(const Arrival &Given, const RowVersionTracker &Rows,
                   std::uint32_t Row, std::uint64_t MinVersion,
                   const std::string &Id,
                   const std::vector<std::string> &Values);
  std::uint32_t pickHost(Random &Numbers) const;
  LoadClass pickClass(Random &Numbers) const;
  std::string entryFor(LoadClass Class, std::uint32_t Group) const;
  void recordAnswer(const Arrival &Given, unsigned Code);

  const Cluster &m_Cluster;      ///< Cluster under load.
  RunRecord &m_Record;           ///< Observations.
  const LoadSettings m_Settings; ///< Settings.
  std::vector<std::unique_ptr<RowVersionTracker>>
      m_Sessions;                                           ///< Rows, by group.
  std::vector<std::unique_ptr<RowVersionTracker>> m_Meters; ///< Rows, by group.
  std::vector<std::atomic<bool>> m_Usable;                  ///< By entry host.
  std::atomic<bool> m_Stopping = false;    ///< True once stop() began.
  std::atomic<std::uint64_t> m_LastId = 0; ///< Last id of a read.
  Queue m_Reads;                           ///< Queue of the read workers.
  Queue m_Writes;                          ///< Queue of the write workers.
  std::vector<std::thread> m_Threads;      ///< Workers, probes, arrivals.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_LOADCLIENT_H
