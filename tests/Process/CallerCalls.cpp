#include "CallerCalls.h"

#include "ragwortmux/Process/Support/UuidV7.h"

#include <random>

namespace ragwortmux {

std::string callerOptions(const CallerSettings &Settings) {
  std::string Text;
  for (const auto &[Name, Value] : Settings) {
    Text += " -c ragwortmux.";
    Text += Name;
    Text += "=";
    Text += Value;
  }
  return Text;
}

PgAnswer runOnce(std::uint16_t Port, const std::string &Entry,
                 const std::string &Sql, const CallerSettings &Settings) {
  PgClient Client(Port);
  if (Client.connect(callerOptions(Settings), Entry)) {
    return Client.query(Sql);
  }
  PgAnswer Refused;
  Refused.m_SqlState = Client.lastSqlState();
  Refused.m_Message = Client.lastReason();
  return Refused;
}

std::string generateRequestKey(std::chrono::hours Age) {
  thread_local std::mt19937_64 Random(std::random_device{}());
  const auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now() - Age);
  return makeRequestKey(Now, [] { return Random(); }).value();
}

} // namespace ragwortmux
