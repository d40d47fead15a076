#include "tests/StandIn/StandInFaults.h"

#include <charconv>

namespace ragwortmux::standin {

StandInFaults::StandInFaults()
    : m_Values{
          {"freeze", 0},              // Answers nothing at all for so long.
          {"silent_connections", 0},  // Connections open now go silent.
          {"refuse_connections", 0},  // Closes new connections at once.
          {"lag_ms", 0},              // Age at which a replica applies.
          {"stop_replication", 0},    // A replica applies nothing.
          {"leave", 0},               // Announces that it leaves.
          {"stop_announcing", 0},     // Sends no announcements.
          {"answer_delay_ms", 0},     // Holds each answer back.
          {"statement_delay_ms", 0},  // Run time of each data statement.
          {"open_delay_ms", 0},       // Time to open a connection.
          {"drop_after_commit", 0},   // The next N commits get no answer.
          {"drop_before_run", 0},     // The next N messages are not run.
          {"drop_before_commit", 0},  // The next N messages that would commit.
          {"silent_after_commit", 0}, // Like drop_after_commit, left open.
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

bool StandInFaults::take(const std::string &Name) {
  std::uint64_t &Left = m_Values.at(Name);
  if (Left == 0) {
    return false;
  }
  --Left;
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
