#include "tests/StandIn/StandInFaults.h"

#include <charconv>

namespace ragwortmux::standin {

StandInFaults::StandInFaults()
    : m_Values{
          // Blocks the whole process once for N ms.
          {"freeze", 0},
          // All connections open now stay open, but get no more responses.
          {"silent_connections", 0},
          // Closes new connections on accept.
          {"refuse_connections", 0},
          // Delay between receipt and application of an entry on a replica.
          {"lag_ms", 0},
          // A replica receives entries, but applies none.
          {"stop_replication", 0},
          // Announcements say that the server is leaving.
          {"leave", 0},
          // Sends no announcements.
          {"stop_announcing", 0},
          // Delay before each response is sent.
          {"answer_delay_ms", 0},
          // Run time of each data statement.
          {"statement_delay_ms", 0},
          // Delay before a session is opened.
          {"open_delay_ms", 0},
          // Closes the connection after each of the next N commits, without a
          // response.
          {"drop_after_commit", 0},
          // Closes the connection instead of running each of the next N
          // messages with data statements.
          {"drop_before_run", 0},
          // Closes the connection instead of running each of the next N
          // messages that would commit.
          {"drop_before_commit", 0},
          // Sends no response after each of the next N commits, and leaves the
          // connection open.
          {"silent_after_commit", 0},
      } {}

bool StandInFaults::set(const std::string &Name, const std::string &Value) {
  const auto Found = m_Values.find(Name);
  std::uint64_t Number = 0;
  const char *const End = Value.data() + Value.size();
  const auto Parsed = std::from_chars(Value.data(), End, Number);
  if (Found == m_Values.end() || Parsed.ec != std::errc() ||
      Parsed.ptr != End) {
    return false;
  }
  Found->second = Number;
  return true;
}

std::uint64_t StandInFaults::value(const std::string &Name) const {
  return m_Values.at(Name);
}

Duration StandInFaults::duration(const std::string &Name) const {
  return std::chrono::milliseconds(value(Name));
}

bool StandInFaults::consume(const std::string &Name) {
  std::uint64_t &Remaining = m_Values.at(Name);
  if (Remaining == 0) {
    return false;
  }
  --Remaining;
  return true;
}

std::vector<std::string> StandInFaults::names() const {
  std::vector<std::string> Names;
  for (const auto &Pair : m_Values) {
    Names.push_back(Pair.first);
  }
  return Names;
}

} // namespace ragwortmux::standin
