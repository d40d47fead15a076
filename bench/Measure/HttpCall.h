#ifndef BENCH_MEASURE_HTTPCALL_H
#define BENCH_MEASURE_HTTPCALL_H

#include <cstdint>
#include <string>

namespace ragwortmux {

/// One HTTP call to a server on the loopback interface.
struct HttpCall final {
  std::uint16_t m_Port = 0;     ///< Port of the server.
  std::string m_Method = "GET"; ///< Method.
  std::string m_Path;           ///< Path with parameters.
  std::string m_Body;           ///< Body; may be empty.
  std::string m_Token;          ///< Operators' token; may be empty.
};

/// What a server answered.
struct HttpAnswer final {
  unsigned m_Status = 0; ///< 0 if no answer came within the time limit.
  std::string m_Body;    ///< The body.
};

/// Makes the call; gives up after some seconds.
HttpAnswer callHttp(const HttpCall &Call);

} // namespace ragwortmux

#endif // BENCH_MEASURE_HTTPCALL_H
