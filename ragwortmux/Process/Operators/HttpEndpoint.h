#ifndef RAGWORTMUX_PROCESS_OPERATORS_HTTPENDPOINT_H
#define RAGWORTMUX_PROCESS_OPERATORS_HTTPENDPOINT_H

#include <kj/compat/http.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace ragwortmux {

class IoLoop;

/// One HTTP request as a handler sees it.
struct HttpRequest final {
  std::string m_Method; ///< GET, POST, PUT or DELETE.
  std::string m_Path;   ///< Path without the query.
  std::map<std::string, std::string>
      m_Parameters; ///< Parameters of the query, percent-decoded.
  std::string
      m_Token; ///< Bearer token of the Authorization header; empty if none.
  std::string m_Body; ///< The whole body.
};

/// The answer of a handler.
struct HttpReply final {
  unsigned m_Status = 200;                        ///< HTTP status.
  std::string m_ContentType = "application/json"; ///< Type of the body.
  std::string m_Body;                             ///< The body.
};

/// Serves HTTP for the platform, for operators and for announcements of backend
/// servers.
class HttpEndpoint final : private kj::HttpService,
                           private kj::HttpServerErrorHandler {
public:
  /// Answers one request; the reply may be given later.
  using Handler = std::function<kj::Promise<HttpReply>(HttpRequest Request)>;

  /// \p MaxBody bounds a request's body; a larger one gets status 413.
  HttpEndpoint(IoLoop &Loop, Handler Handle, std::size_t MaxBody);

  /// Listens on \p Address (0 as \p Port: any free one) and returns the port.
  std::uint16_t listen(const std::string &Address, std::uint16_t Port);

private:
  kj::Promise<void> request(kj::HttpMethod Method, kj::StringPtr Url,
                            const kj::HttpHeaders &Headers,
                            kj::AsyncInputStream &Body,
                            Response &Answer) override;
  kj::Promise<void>
  handleApplicationError(kj::Exception Error,
                         kj::Maybe<Response &> Answer) override;
  kj::Promise<void> sendReply(Response &Answer, HttpReply Reply);

  IoLoop &m_Loop;        ///< The event loop.
  Handler m_Handle;      ///< Answers requests.
  std::size_t m_MaxBody; ///< Largest body accepted, in bytes.
  kj::HttpHeaderTable::Builder
      m_Builder;                    ///< Registers the headers that are read.
  kj::HttpHeaderId m_Authorization; ///< The Authorization header.
  kj::Own<kj::HttpHeaderTable> m_Table;       ///< The built table.
  kj::HttpServer m_Server;                    ///< KJ's HTTP server.
  kj::Own<kj::ConnectionReceiver> m_Receiver; ///< The listening socket.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_OPERATORS_HTTPENDPOINT_H
