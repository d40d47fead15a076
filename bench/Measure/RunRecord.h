#ifndef BENCH_MEASURE_RUNRECORD_H
#define BENCH_MEASURE_RUNRECORD_H

#include "bench/Measure/Workload.h"
#include "ragwortmux/Process/Support/LatencyHistogram.h"

#include <array>
#include <map>
#include <mutex>

namespace ragwortmux {

/// Outcome of a booking as its caller knows it.
enum class BookingOutcome : std::uint8_t { Acknowledged, NotRun, Unknown };

/// One booking of the load or of a probe writer.
struct BookingRecord final {
  std::string m_Value; ///< Unique value that the booking writes.
  BookingOutcome m_Outcome = BookingOutcome::Unknown; ///< Outcome.
  std::string m_Answers;   ///< Result codes of all answers.
  bool m_InTwoRows = true; ///< True if it writes stock and deposit.
};

/// A violation of a promise.
struct Violation final {
  std::string m_Promise; ///< Short text of the promise.
  std::string m_Detail;  ///< Group, row and values observed.
};

/// Collects the observations of all clients in one run. Thread-safe.
class RunRecord final {
public:
  using Clock = std::chrono::steady_clock;
  using Codes = std::map<unsigned, std::uint64_t>;

  explicit RunRecord(std::uint32_t Groups);

  /// Records the first answer to a request of the load.
  void recordAnswer(LoadClass Class, unsigned Code, Duration Latency);
  /// Records whether a primary or a replica answered a read. The first read of
  /// a new session must go to the primary.
  void recordRead(LoadClass Class, bool ByReplica, bool NewSession);
  /// Records a finished booking; \p At is the time of its last answer.
  void recordBooking(std::uint32_t Group, BookingRecord Booking,
                     Clock::time_point At);
  /// Records that a caller sent a booking again; \p Deliberate after an
  /// acknowledgement, else after an unknown outcome.
  void recordResend(bool Deliberate);
  /// Records a request that was not sent, since the queue was full or no
  /// unlocked row was found.
  void recordOverflow();
  /// Records a violation of a promise.
  void recordViolation(const std::string &Promise, const std::string &Detail);

  /// Number of first answers so far.
  std::uint64_t answers() const;
  /// Longest time between acknowledged bookings of a group that overlaps the
  /// interval from \p From to \p To.
  Duration longestGap(std::uint32_t Group, Clock::time_point From,
                      Clock::time_point To) const;

  const LatencyHistogram &latency(LoadClass Class) const;
  const Codes &codes(LoadClass Class) const;
  std::uint64_t replicaReads(LoadClass Class) const;
  std::uint64_t primaryReads(LoadClass Class) const;
  /// Reads at the primary that were the first of their session.
  std::uint64_t firstReads() const { return m_FirstReads; }
  const std::vector<BookingRecord> &bookings(std::uint32_t Group) const;
  const std::vector<Violation> &violations() const { return m_Violations; }
  std::uint64_t violationCount() const { return m_ViolationCount; }
  std::uint64_t resends() const { return m_Resends; }
  std::uint64_t deliberateResends() const { return m_DeliberateResends; }
  std::uint64_t overflows() const { return m_Overflows; }

private:
  struct Group final {
    std::vector<BookingRecord> m_Bookings; ///< All finished bookings.
    std::vector<Clock::time_point>
        m_Acknowledged; ///< Times of acknowledgements, unordered.
  };

  mutable std::mutex m_Lock; ///< Guards all other members.
  std::array<LatencyHistogram, LoadClassCount> m_Latency;     ///< By class.
  std::array<Codes, LoadClassCount> m_Codes;                  ///< By class.
  std::array<std::uint64_t, LoadClassCount> m_ReplicaReads{}; ///< By class.
  std::array<std::uint64_t, LoadClassCount> m_PrimaryReads{}; ///< By class.
  std::uint64_t m_FirstReads = 0;        ///< First reads at primary.
  std::vector<Group> m_Groups;           ///< By group number.
  std::vector<Violation> m_Violations;   ///< The first 50.
  std::uint64_t m_ViolationCount = 0;    ///< Count of all.
  std::uint64_t m_Resends = 0;           ///< After unknown outcomes.
  std::uint64_t m_DeliberateResends = 0; ///< After acknowledgements.
  std::uint64_t m_Overflows = 0;         ///< Requests not sent.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_RUNRECORD_H
