#ifndef TESTS_PROCESS_KEYEDBOOKING_H
#define TESTS_PROCESS_KEYEDBOOKING_H

#include "Cluster.h"

#include <cstddef>
#include <string>

namespace ragwortmux {

/// A keyed booking that adds 1 to a row of its own, so that a second run shows
/// in the row and in the servers' records.
class KeyedBooking final {
public:
  KeyedBooking(Cluster &System, std::string Row, std::string Key = makeKey());

  /// Creates the row.
  bool prepare() const;
  /// The statement.
  std::string sql() const;
  /// The settings of its caller.
  CallerSettings settings() const { return {{"request_key", m_Key}}; }

  /// Sends it once.
  PgAnswer send(unsigned Host) const;
  /// Sends it again until the answer is final.
  PgAnswer resend(unsigned Host) const;

  /// How often it ran, by the servers' records.
  std::size_t runs() const;
  /// The row as a new caller reads it.
  std::string value() const;

private:
  Cluster &m_System; ///< Where it is sent.
  std::string m_Row; ///< Its row.
  std::string m_Key; ///< Its request key.
};

} // namespace ragwortmux

#endif // TESTS_PROCESS_KEYEDBOOKING_H
