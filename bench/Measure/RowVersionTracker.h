#ifndef BENCH_MEASURE_ROWVERSIONTRACKER_H
#define BENCH_MEASURE_ROWVERSIONTRACKER_H

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ragwortmux {

/// Tracks the versions that the load has written to the rows of one table, and
/// the oldest version that a read may return. Row N has key PREFIX + N and
/// value KEY:VERSION. Writes to the same row are serialized. Thread-safe.
class RowVersionTracker final {
public:
  using Clock = std::chrono::steady_clock;
  using Random = std::mt19937_64;

  /// A write in progress.
  struct Write final {
    std::uint32_t m_Row = 0;     ///< Number of the row.
    std::uint64_t m_Version = 0; ///< Version that is written.
  };

  RowVersionTracker(std::string Prefix, std::uint32_t Rows);

  /// Locks a random row for a write; nothing if 20 random rows were locked.
  std::optional<Write> beginWrite(Random &Numbers);
  /// Records the acknowledgement of a write at \p At and unlocks its row.
  void recordAcknowledgement(const Write &Done, Clock::time_point At);
  /// Unlocks the row of a write that was not run.
  void recordNotRun(const Write &Done);
  /// Leaves the row of a write with unknown outcome locked for the rest of the
  /// run.
  void recordUnknownOutcome(const Write &Done);

  /// Records an answer to a request of the row's session. True if there was an
  /// earlier one.
  bool recordSessionAnswer(std::uint32_t Row);

  /// Number of a random row.
  std::uint32_t pickRow(Random &Numbers) const;
  /// Newest version of a row that was acknowledged up to \p At; 0 if none.
  std::uint64_t acknowledgedVersion(std::uint32_t Row,
                                    Clock::time_point At) const;

  std::string key(std::uint32_t Row) const;
  std::string value(const Write &Given) const;
  /// Version in a value of a row; nothing if the value is not one of that row.
  std::optional<std::uint64_t> parseVersion(std::uint32_t Row,
                                            const std::string &Value) const;

private:
  struct Acknowledgement final {
    Clock::time_point m_At;      ///< Time of the acknowledgement.
    std::uint64_t m_Version = 0; ///< Acknowledged version.
  };

  struct Row final {
    bool m_IsAnswered = false; ///< True after the first answer to its session.
    bool m_IsLocked = false;   ///< Write in progress or with unknown outcome.
    std::uint64_t m_LastVersion = 0; ///< Version of the last write started.
    std::vector<Acknowledgement> m_Acknowledged; ///< In order of time.
  };

  const std::string m_Prefix; ///< Prefix of all keys.
  mutable std::mutex m_Lock;  ///< Guards m_Rows.
  std::vector<Row> m_Rows;    ///< By number.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_ROWVERSIONTRACKER_H
