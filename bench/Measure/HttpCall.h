#ifndef BENCH_MEASURE_HTTPCALL_H
#define BENCH_MEASURE_HTTPCALL_H

#include <cstdint>
#include <string>

namespace ragwortmux {

/// HTTP request to a server on the loopback interface.
struct HttpCall final {
  std::uint16_t m_Port = 0;     ///< Port of the server.
  std::string m_Method = "GET"; ///< HTTP method.
  std::string m_Path;           ///< Path with query string.
  std::string m_Body;           ///< Body; may be empty.
  std::string m_Token; ///< Bearer token of the operators; may be empty.
};

/// Answer to an HttpCall.
struct HttpAnswer final {
  unsigned m_Status = 0; ///< HTTP status; 0 if no answer came in time.
  std::string m_Body;    ///< Body.
};

/// Sends the request and waits for the answer; each socket operation has a time
/// limit of 6 s.
HttpAnswer callHttp(const HttpCall &Call);

} // namespace ragwortmux

#endif // BENCH_MEASURE_HTTPCALL_H
