#ifndef BENCH_MEASURE_LOADCLIENT_H
#define BENCH_MEASURE_LOADCLIENT_H

#include "bench/Measure/RowBook.h"
#include "bench/Measure/RunRecord.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <thread>

namespace ragwortmux {

class Cluster;
class SessionClient;

/// How the load is run.
struct LoadSettings final {
  std::uint64_t m_Seed = 1;              ///< Of arrivals and choices.
  std::uint32_t m_ReadWorkers = 24;      ///< Reads at a time.
  std::uint32_t m_WriteWorkers = 40;     ///< Writes at a time.
  std::uint32_t m_ProbeIntervalMs = 100; ///< Of each host's probe of a group.
  std::uint32_t m_ResendPercent = 3; ///< Bookings resent after their answer.
  bool m_ReadAtPrimary = false;      ///< Sends reads as repeatable writes.
  bool m_UnkeyedBookings = false;    ///< Bookings without request keys.
};

/// A seeded open-loop load of one workload on a cluster, and one probe writer
/// per entry host and group. Latency counts from the time at which a request
/// was due.
class LoadClient final {
public:
  LoadClient(const Cluster &Target, RunRecord &Record,
             const LoadSettings &Settings);
  LoadClient(const LoadClient &) = delete;
  LoadClient &operator=(const LoadClient &) = delete;
  ~LoadClient();

  void start();
  /// Ends the arrivals and waits for what is under way.
  void stop();
  /// Takes an entry host out of the balancer, or back in.
  void setHostUsable(std::uint32_t Host, bool Usable);

private:
  using Clock = std::chrono::steady_clock;
  using Random = std::mt19937_64;

  struct Arrival final {
    LoadClass m_Class = LoadClass::AgedRead; ///< What is asked.
    std::uint32_t m_Group = 0;               ///< Of which group.
    Clock::time_point m_Due;                 ///< When.
  };

  struct Queue final {
    std::mutex m_Lock;               ///< Guards the rest.
    std::condition_variable m_Ready; ///< Something arrived or ended.
    std::deque<Arrival> m_Waiting;   ///< In order.
  };

  void arrive();
  void work(Queue &From, std::uint64_t Seed);
  void probe(std::uint32_t Group, std::uint32_t Host);
  void handle(SessionClient &Client, const Arrival &Given, Random &Numbers);
  void book(SessionClient &Client, const Arrival &Given, Random &Numbers);
  void write(SessionClient &Client, const Arrival &Given, Random &Numbers);
  void read(SessionClient &Client, const Arrival &Given, Random &Numbers);
  void checkAnswer(const Arrival &Given, const RowBook &Rows, std::uint32_t Row,
                   std::uint64_t LeastVersion, const std::string &Id,
                   const std::vector<std::string> &Values);
  std::uint32_t pickHost(Random &Numbers) const;
  LoadClass pickClass(Random &Numbers) const;
  std::string entryFor(LoadClass Class, std::uint32_t Group) const;
  void answered(const Arrival &Given, unsigned Code);

  const Cluster &m_Cluster;                         ///< The target.
  RunRecord &m_Record;                              ///< What is seen.
  const LoadSettings m_Settings;                    ///< How to run.
  std::vector<std::unique_ptr<RowBook>> m_Sessions; ///< By group.
  std::vector<std::unique_ptr<RowBook>> m_Meters;   ///< By group.
  std::vector<std::atomic<bool>> m_Usable;          ///< By host.
  std::atomic<bool> m_Stopping = false;             ///< No more arrivals.
  std::atomic<std::uint64_t> m_LastId = 0;          ///< Of requests.
  Queue m_Reads;                                    ///< For read workers.
  Queue m_Writes;                                   ///< For write workers.
  std::vector<std::thread> m_Threads;               ///< All threads.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_LOADCLIENT_H
