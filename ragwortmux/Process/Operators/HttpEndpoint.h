#ifndef RAGWORTMUX_PROCESS_OPERATORS_HTTPENDPOINT_H
#define RAGWORTMUX_PROCESS_OPERATORS_HTTPENDPOINT_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Support/LimitReporter.h"

#include <kj/compat/http.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ragwortmux {

class IoLoop;
class Metrics;
struct ProcessSettings;

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

/// Limits on the clients of an HttpEndpoint.
struct HttpLimits final {
  std::size_t m_MaxBody = 65536;      ///< Largest body; above it: status 413.
  std::size_t m_MaxConnections = 128; ///< Connections at the same time.
  std::size_t m_BudgetBytes =
      16UL << 20U; ///< Bodies of all requests in progress; above it: 503.
  Duration m_RequestTimeout = std::chrono::seconds(
      15); ///< For a header, for a body, and for the reading of an answer.
};

/// The limits in \p Settings, with bodies of up to \p MaxBody bytes.
HttpLimits httpLimits(const ProcessSettings &Settings, std::size_t MaxBody);

/// Serves HTTP for the platform, for operators and for announcements of backend
/// servers.
class HttpEndpoint final : private kj::HttpServerErrorHandler {
public:
  /// Answers one request; the reply may be given later.
  using Handler = std::function<kj::Promise<HttpReply>(HttpRequest Request)>;

  /// \p ProcessMetrics may be null.
  HttpEndpoint(IoLoop &Loop, Handler Handle, HttpLimits Limits,
               Metrics *ProcessMetrics);
  ~HttpEndpoint() noexcept;
  HttpEndpoint(const HttpEndpoint &) = delete;
  HttpEndpoint &operator=(const HttpEndpoint &) = delete;

  /// Listens on \p Address (0 as \p Port: any free one) and returns the port.
  std::uint16_t listen(const std::string &Address, std::uint16_t Port);

private:
  struct Connection;
  class ConnectionService;
  using ConnectionId = std::uint64_t;

  kj::Promise<void> accept();
  void serve(kj::Own<kj::AsyncIoStream> Stream);
  bool makeRoom();
  void close(ConnectionId Id);
  void scheduleCheck();
  void closeExpired();
  kj::Promise<void> request(Connection &From, kj::HttpMethod Method,
                            kj::StringPtr Url, const kj::HttpHeaders &Headers,
                            kj::AsyncInputStream &Body,
                            kj::HttpService::Response &Answer);
  kj::Promise<unsigned> readBody(Connection &From, kj::AsyncInputStream &Body);
  void releaseBody(Connection &From);
  kj::Promise<void> handleApplicationError(
      kj::Exception Error,
      kj::Maybe<kj::HttpService::Response &> Answer) override;
  kj::Promise<void> sendReply(kj::HttpService::Response &Answer,
                              HttpReply Reply);

  IoLoop &m_Loop;           ///< The event loop.
  Handler m_Handle;         ///< Answers requests.
  HttpLimits m_Limits;      ///< The limits.
  LimitReporter m_Reporter; ///< Counts and logs reached limits.
  kj::HttpHeaderTable::Builder
      m_Builder;                    ///< Registers the headers that are read.
  kj::HttpHeaderId m_Authorization; ///< The Authorization header.
  kj::Own<kj::HttpHeaderTable> m_Table;       ///< The built table.
  kj::HttpServer m_Server;                    ///< KJ's HTTP server.
  kj::Own<kj::ConnectionReceiver> m_Receiver; ///< The listening socket.
  std::size_t m_BodyBytes = 0;       ///< Bodies of all requests in progress.
  bool m_IsCheckScheduled = false;   ///< closeExpired() will be called.
  ConnectionId m_LastConnection = 0; ///< The last assigned id.
  /// Open connections; destroyed before m_Server, which serves them.
  std::map<ConnectionId, std::unique_ptr<Connection>> m_Connections;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_OPERATORS_HTTPENDPOINT_H
