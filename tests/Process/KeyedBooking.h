#ifndef TESTS_PROCESS_KEYEDBOOKING_H
#define TESTS_PROCESS_KEYEDBOOKING_H

#include "Cluster.h"

#include <cstddef>
#include <string>

namespace ragwortmux {

/// A booking with a request key that adds 1 to a row which nothing else
/// changes, so that a second run shows in the row and in the servers' commit
/// records.
class KeyedBooking final {
public:
  KeyedBooking(Cluster &System, std::string Row,
               std::string Key = generateRequestKey());

  /// Creates the row.
  bool createRow() const;
  /// SQL statement of the booking.
  std::string sql() const;
  /// Settings of its caller, with the request key.
  CallerSettings settings() const { return {{"request_key", m_Key}}; }

  /// Sends the booking once.
  PgAnswer send(unsigned Host) const;
  /// Sends the booking until the answer is final or waitUntil() times out.
  PgAnswer resend(unsigned Host) const;

  /// Number of its runs in the servers' commit records.
  std::size_t countRuns() const;
  /// Value of the row as read by a new caller.
  std::string value() const;

private:
  Cluster &m_System; ///< Cluster that runs it.
  std::string m_Row; ///< Key of the row.
  std::string m_Key; ///< Request key.
};

} // namespace ragwortmux

#endif // TESTS_PROCESS_KEYEDBOOKING_H
