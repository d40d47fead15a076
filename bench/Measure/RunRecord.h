#ifndef BENCH_MEASURE_RUNRECORD_H
#define BENCH_MEASURE_RUNRECORD_H

#include "bench/Measure/Workload.h"
#include "ragwortmux/Process/Support/LatencyHistogram.h"

#include <array>
#include <map>
#include <mutex>

namespace ragwortmux {

/// How a booking ended for its caller.
enum class BookingOutcome : std::uint8_t { Acknowledged, NotRun, Unknown };

/// One booking.
struct BookingRecord final {
  std::string m_Value; ///< Unique value that it writes.
  BookingOutcome m_Outcome = BookingOutcome::Unknown; ///< How it ended.
  std::string m_Answers;   ///< Result codes of all its answers.
  bool m_InTwoRows = true; ///< Writes stock and deposit.
};

/// A promise that was found broken.
struct Violation final {
  std::string m_Promise; ///< Which one.
  std::string m_Detail;  ///< What was seen.
};

/// Everything that the clients saw in one run. Thread-safe.
class RunRecord final {
public:
  using Clock = std::chrono::steady_clock;
  using Codes = std::map<unsigned, std::uint64_t>;

  explicit RunRecord(std::uint32_t Groups);

  /// A request of the load got its first answer.
  void answered(LoadClass Class, unsigned Code, Duration Latency);
  /// A read was answered by a primary or a replica.
  /// A new session's first read must go to the primary.
  void readServed(LoadClass Class, bool ByReplica, bool NewSession);
  /// A booking has ended; \p At is the time of its last answer.
  void bookingEnded(std::uint32_t Group, BookingRecord Booking,
                    Clock::time_point At);
  /// A write was run again by its caller.
  void resent(bool Deliberate);
  /// The load had more requests waiting than it can run.
  void overflowed();
  /// A promise was broken.
  void violated(const std::string &Promise, const std::string &Detail);

  /// Answers so far.
  std::uint64_t answers() const;
  /// Longest time without an acknowledged booking of a group that overlaps
  /// the given one.
  Duration longestGap(std::uint32_t Group, Clock::time_point From,
                      Clock::time_point To) const;

  const LatencyHistogram &latency(LoadClass Class) const;
  const Codes &codes(LoadClass Class) const;
  std::uint64_t replicaReads(LoadClass Class) const;
  std::uint64_t primaryReads(LoadClass Class) const;
  /// Reads at the primary that were the first of their sessions.
  std::uint64_t firstReads() const { return m_FirstReads; }
  const std::vector<BookingRecord> &bookings(std::uint32_t Group) const;
  const std::vector<Violation> &violations() const { return m_Violations; }
  std::uint64_t violationCount() const { return m_ViolationCount; }
  std::uint64_t resends() const { return m_Resends; }
  std::uint64_t deliberateResends() const { return m_DeliberateResends; }
  std::uint64_t overflows() const { return m_Overflows; }

private:
  struct Group final {
    std::vector<BookingRecord> m_Bookings;         ///< All bookings.
    std::vector<Clock::time_point> m_Acknowledged; ///< Times, unordered.
  };

  mutable std::mutex m_Lock; ///< Guards everything below.
  std::array<LatencyHistogram, LoadClassCount> m_Latency;     ///< By class.
  std::array<Codes, LoadClassCount> m_Codes;                  ///< By class.
  std::array<std::uint64_t, LoadClassCount> m_ReplicaReads{}; ///< By class.
  std::array<std::uint64_t, LoadClassCount> m_PrimaryReads{}; ///< By class.
  std::uint64_t m_FirstReads = 0;        ///< Of new sessions, at the primary.
  std::vector<Group> m_Groups;           ///< By number.
  std::vector<Violation> m_Violations;   ///< The first ones.
  std::uint64_t m_ViolationCount = 0;    ///< All of them.
  std::uint64_t m_Resends = 0;           ///< After unknown outcomes.
  std::uint64_t m_DeliberateResends = 0; ///< After acknowledgements.
  std::uint64_t m_Overflows = 0;         ///< Requests not sent at all.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_RUNRECORD_H
