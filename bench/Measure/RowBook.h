#ifndef BENCH_MEASURE_ROWBOOK_H
#define BENCH_MEASURE_ROWBOOK_H

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ragwortmux {

/// What the load has written to the rows of one table and which version each
/// read must see at least. Row N has key PREFIX + N and value KEY:VERSION.
/// Writes to one row come one after the other. Thread-safe.
class RowBook final {
public:
  using Clock = std::chrono::steady_clock;
  using Random = std::mt19937_64;

  /// A write that is being run.
  struct Write final {
    std::uint32_t m_Row = 0;     ///< The row.
    std::uint64_t m_Version = 0; ///< The version that it writes.
  };

  RowBook(std::string Prefix, std::uint32_t Rows);

  /// Takes a row that nobody writes to; nothing if all are taken.
  std::optional<Write> beginWrite(Random &Numbers);
  /// The write was acknowledged at \p At.
  void acknowledged(const Write &Done, Clock::time_point At);
  /// The write was not run: the row may be written again.
  void notRun(const Write &Done);
  /// Nothing is known about the write: the row is not written any more.
  void unknown(const Write &Done);

  /// A request of the row's session was answered. True if it is not the first.
  bool noteAnswer(std::uint32_t Row);

  /// Any row.
  std::uint32_t pickRow(Random &Numbers) const;
  /// The newest version of a row that was acknowledged before \p At.
  std::uint64_t acknowledgedVersion(std::uint32_t Row,
                                    Clock::time_point At) const;

  std::string key(std::uint32_t Row) const;
  std::string value(const Write &Given) const;
  /// The version in a value of a row; nothing if it is not a value of that
  /// row.
  std::optional<std::uint64_t> parseVersion(std::uint32_t Row,
                                            const std::string &Value) const;

private:
  struct Acknowledgement final {
    Clock::time_point m_At;      ///< When it came.
    std::uint64_t m_Version = 0; ///< Of which version.
  };

  struct Row final {
    bool m_Known = false;     ///< A request of its session was answered.
    bool m_Taken = false;     ///< Somebody writes to it, or must not.
    std::uint64_t m_Last = 0; ///< Version given out last.
    std::vector<Acknowledgement> m_Acknowledged; ///< In order.
  };

  const std::string m_Prefix; ///< Of all keys.
  mutable std::mutex m_Lock;  ///< Guards the rows.
  std::vector<Row> m_Rows;    ///< The rows.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_ROWBOOK_H
