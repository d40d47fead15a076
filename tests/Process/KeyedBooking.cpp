#include "KeyedBooking.h"

namespace ragwortmux {

namespace {

/// True if a resend may get another answer: the connection was lost, the key is
/// in use, there is no primary, lease or backend connection at the moment, the
/// server refused the term, or the outcome is unknown.
bool isTemporary(const std::string &SqlState) {
  return SqlState.empty() || SqlState == "55006" || SqlState == "57P03" ||
         SqlState == "08001" || SqlState == "08007" || SqlState == "72000";
}

} // namespace

KeyedBooking::KeyedBooking(Cluster &System, std::string Row, std::string Key)
    : m_System(System), m_Row(std::move(Row)), m_Key(std::move(Key)) {}

bool KeyedBooking::createRow() const {
  return waitUntil([this] {
    const auto Answer =
        runOnce(m_System.callerPort(0), "bookings",
                "INSERT INTO stock VALUES ('" + m_Row + "', '0')");
    return Answer.m_Ok || Answer.m_SqlState == "23505";
  });
}

std::string KeyedBooking::sql() const {
  return "UPDATE stock SET v = v + 1 WHERE k = '" + m_Row + "'";
}

PgAnswer KeyedBooking::send(unsigned Host) const {
  return runOnce(m_System.callerPort(Host), "bookings", sql(), settings());
}

PgAnswer KeyedBooking::resend(unsigned Host) const {
  PgAnswer Answer;
  waitUntil([&] {
    Answer = send(Host);
    return Answer.m_Ok || !isTemporary(Answer.m_SqlState);
  });
  return Answer;
}

std::size_t KeyedBooking::countRuns() const {
  return m_System.countCommits("k = '" + m_Row + "'");
}

std::string KeyedBooking::value() const {
  return runOnce(m_System.callerPort(0), "writes",
                 "SELECT v FROM stock WHERE k = '" + m_Row + "'")
      .value();
}

} // namespace ragwortmux
