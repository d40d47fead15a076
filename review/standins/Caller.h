#ifndef REVIEW_STANDINS_CALLER_H
#define REVIEW_STANDINS_CALLER_H

#include "review/standins/Net.h"
#include "review/standins/Record.h"

#include <atomic>
#include <string>
#include <vector>

namespace review {

/// The answer to a statement.
struct Answer final {
  bool m_Succeeded = false; ///< It ended with COMPLETE.
  std::string m_Row;        ///< The last row.
  std::string m_Text;       ///< The COMPLETE or ERROR line; empty if none.
};

/// A client session.
class Caller final {
public:
  Caller(Record &Log, const std::string &Address, std::uint16_t Port,
         const std::string &Database, bool IsQuiet = false)
      : m_Record(Log), m_IsQuiet(IsQuiet),
        m_Connection(connectTo(Address, Port)) {
    if (m_Connection == nullptr)
      return;
    m_Connection->send("STARTUP " + Database + " u1\r\n");
    m_IsReady = m_Connection->line(Milliseconds(2000)) == "READY I -";
  }

  bool isReady() const { return m_IsReady; }

  /// Sends a statement and does not wait for its answer.
  std::string send(const std::string &Text) {
    std::string Id = nextId();
    record("sent: " + Id + " " + Text);
    m_Connection->send("QUERY " + Id + " " + Text + "\r\n");
    return Id;
  }

  /// Waits for the answer to the last statement.
  Answer receive(Milliseconds Limit = Milliseconds(6000)) {
    Answer Result;
    for (;;) {
      const auto Line = m_Connection->line(Limit);
      if (!Line) {
        record("no answer");
        return Result;
      }
      if (Line->starts_with("READY"))
        break;
      if (Line->starts_with("ROW "))
        Result.m_Row = Line->substr(4);
      else
        Result.m_Text = *Line;
    }
    Result.m_Succeeded = Result.m_Text.starts_with("COMPLETE");
    record("answered: " + Result.m_Text +
           (Result.m_Row.empty() ? "" : ", row " + Result.m_Row));
    return Result;
  }

  Answer query(const std::string &Text) {
    if (!m_IsReady)
      return {};
    send(Text);
    return receive();
  }

  /// Closes the connection.
  void leave() {
    record("the client leaves");
    m_Connection = nullptr;
    m_IsReady = false;
  }

  /// An id that no other statement has.
  static std::string nextId() {
    static std::atomic<std::uint64_t> Last = 0;
    const std::string Number = std::to_string(++Last);
    return "5c0e7a21d94b0000" + std::string(6 - Number.size(), '0') + Number;
  }

private:
  void record(const std::string &Text) {
    if (!m_IsQuiet)
      m_Record.add(Text);
  }

  Record &m_Record;                         ///< The record.
  bool m_IsQuiet;                           ///< Records nothing.
  std::shared_ptr<Connection> m_Connection; ///< Null once it has left.
  bool m_IsReady = false;                   ///< The session has been accepted.
};

} // namespace review

#endif // REVIEW_STANDINS_CALLER_H
