#ifndef TESTS_PROCESS_HTTPCALL_H
#define TESTS_PROCESS_HTTPCALL_H

#include <cstdint>
#include <string>

namespace ragwortmux {

/// Answer to an HTTP call; status 0 if nobody answered.
struct HttpAnswer final {
  int m_Status = 0;   ///< HTTP status.
  std::string m_Body; ///< The body.
};

/// Makes one blocking HTTP call to 127.0.0.1 with the test operator's token;
/// gives up after 5 s.
HttpAnswer httpCall(std::uint16_t Port, const std::string &Method,
                    const std::string &Path, const std::string &Body = "",
                    const std::string &Token = "test-operator-token");

} // namespace ragwortmux

#endif // TESTS_PROCESS_HTTPCALL_H
