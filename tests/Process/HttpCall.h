#ifndef TESTS_PROCESS_HTTPCALL_H
#define TESTS_PROCESS_HTTPCALL_H

#include <cstdint>
#include <string>

namespace ragwortmux {

/// Answer to an HTTP call; status 0 if there was none.
struct HttpAnswer final {
  int m_Status = 0;   ///< HTTP status.
  std::string m_Body; ///< Body.
};

/// Makes one blocking HTTP call to 127.0.0.1 with \p Token as bearer token.
/// Stops waiting if nothing is received for 5 s.
HttpAnswer httpCall(std::uint16_t Port, const std::string &Method,
                    const std::string &Path, const std::string &Body = "",
                    const std::string &Token = "test-operator-token");

} // namespace ragwortmux

#endif // TESTS_PROCESS_HTTPCALL_H
