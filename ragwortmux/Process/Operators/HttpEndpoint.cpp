#include "ragwortmux/Process/Operators/HttpEndpoint.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"

#include <kj/compat/url.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace ragwortmux {

namespace {

constexpr unsigned StatusPayloadTooLarge = 413;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusOk = 200;
constexpr std::size_t ReadBytes = 16384;
constexpr Duration CheckInterval = std::chrono::milliseconds(100);
/// Pause before the next attempt to accept a connection after a failure, which
/// is probably a lack of file descriptors.
constexpr Duration AcceptRetryInterval = std::chrono::milliseconds(100);

/// What a connection is doing.
enum class Phase : std::uint8_t {
  WaitsForRequest, ///< No complete header of a next request.
  ReadsBody,       ///< A body is arriving.
  IsHandled,       ///< The handler has the request.
  SendsAnswer,     ///< The answer is being written.
};

std::string bearerToken(kj::StringPtr Header) {
  constexpr std::string_view Prefix = "Bearer ";
  const std::string_view Text(Header.cStr(), Header.size());
  return Text.starts_with(Prefix) ? std::string(Text.substr(Prefix.size()))
                                  : std::string();
}

} // namespace

/// One client's connection.
struct HttpEndpoint::Connection final {
  void enter(Phase Next) {
    m_Phase = Next;
    m_Since = monotonicNow();
  }

  ConnectionId m_Id = 0;                  ///< Its id.
  Phase m_Phase = Phase::WaitsForRequest; ///< What it is doing.
  Instant m_Since = monotonicNow();       ///< When that began.
  std::string m_Body;          ///< The body that is arriving or handled.
  std::size_t m_BodyBytes = 0; ///< Its part of HttpEndpoint::m_BodyBytes.
  bool m_IsClosing = false;    ///< close() was called.
  std::optional<kj::Promise<void>>
      m_Serving; ///< Serves the connection; its end closes the connection.
};

/// Passes the requests of one connection to its endpoint.
class HttpEndpoint::ConnectionService final : public kj::HttpService {
public:
  ConnectionService(HttpEndpoint &Owner, Connection &From)
      : m_Owner(Owner), m_From(From) {}

  kj::Promise<void> request(kj::HttpMethod Method, kj::StringPtr Url,
                            const kj::HttpHeaders &Headers,
                            kj::AsyncInputStream &Body,
                            Response &Answer) override {
    return m_Owner.request(m_From, Method, Url, Headers, Body, Answer);
  }

private:
  HttpEndpoint &m_Owner; ///< The endpoint.
  Connection &m_From;    ///< The connection.
};

HttpLimits httpLimits(const ProcessSettings &Settings, std::size_t MaxBody) {
  HttpLimits Limits;
  Limits.m_MaxBody = MaxBody;
  Limits.m_MaxConnections = Settings.m_HttpMaxConnections;
  Limits.m_BudgetBytes = Settings.m_HttpBudgetBytes;
  Limits.m_RequestTimeout = Settings.m_HttpRequestTimeout;
  return Limits;
}

HttpEndpoint::HttpEndpoint(IoLoop &Loop, Handler Handle, HttpLimits Limits,
                           Metrics *ProcessMetrics)
    : m_Loop(Loop), m_Handle(std::move(Handle)), m_Limits(Limits),
      m_Reporter(Part::Http, ProcessMetrics),
      m_Authorization(m_Builder.add("Authorization")),
      m_Table(m_Builder.build()),
      m_Server(
          Loop.timer(), *m_Table,
          // KJ creates the service of a connection while serve() starts it, so
          // it belongs to the connection that was added last.
          [this](kj::AsyncIoStream &) -> kj::Own<kj::HttpService> {
            return kj::heap<ConnectionService>(
                *this, *m_Connections.at(m_LastConnection));
          },
          [this] {
            kj::HttpServerSettings Settings;
            Settings.headerTimeout = toKj(m_Limits.m_RequestTimeout);
            Settings.errorHandler =
                static_cast<kj::HttpServerErrorHandler &>(*this);
            return Settings;
          }()) {}

HttpEndpoint::~HttpEndpoint() noexcept = default;

std::uint16_t HttpEndpoint::listen(const std::string &Address,
                                   std::uint16_t Port) {
  auto Parsed =
      m_Loop.network().parseAddress(Address, Port).wait(m_Loop.waitScope());
  m_Receiver = Parsed->listen();
  m_Loop.spawn(accept());
  return static_cast<std::uint16_t>(m_Receiver->getPort());
}

kj::Promise<void> HttpEndpoint::accept() {
  return m_Receiver->accept().then(
      [this](kj::Own<kj::AsyncIoStream> Stream) {
        serve(kj::mv(Stream));
        return accept();
      },
      [this](kj::Exception &&Error) {
        logWarn(Part::Http, "Could not accept a connection: {}.",
                Error.getDescription().cStr());
        return m_Loop.timer()
            .afterDelay(toKj(AcceptRetryInterval))
            .then([this] { return accept(); });
      });
}

void HttpEndpoint::serve(kj::Own<kj::AsyncIoStream> Stream) {
  if (m_Connections.size() >= m_Limits.m_MaxConnections && !makeRoom()) {
    m_Reporter.report("http_max_connections", "refused", 0, monotonicNow());
    return;
  }
  const ConnectionId Id = ++m_LastConnection;
  Connection &Added =
      *m_Connections.emplace(Id, std::make_unique<Connection>()).first->second;
  Added.m_Id = Id;
  Added.m_Serving = m_Server.listenHttp(kj::mv(Stream))
                        .then([this, Id] { close(Id); },
                              [this, Id](kj::Exception &&) { close(Id); })
                        .eagerlyEvaluate(nullptr);
  scheduleCheck();
}

/// Closes the connection that has been without a whole request longest; false
/// if the handler has the requests of all of them.
bool HttpEndpoint::makeRoom() {
  const Connection *Oldest = nullptr;
  for (const auto &[Id, Current] : m_Connections) {
    const bool MayClose =
        !Current->m_IsClosing && Current->m_Phase != Phase::IsHandled;
    if (MayClose && (Oldest == nullptr || Current->m_Since < Oldest->m_Since)) {
      Oldest = Current.get();
    }
  }
  if (Oldest == nullptr) {
    return false;
  }
  m_Reporter.report("http_max_connections", "closed", Oldest->m_BodyBytes,
                    monotonicNow());
  // Not in a call from the connection, so it can be destroyed at once.
  const auto Found = m_Connections.find(Oldest->m_Id);
  releaseBody(*Found->second);
  m_Connections.erase(Found);
  return true;
}

/// Closes a connection in a later turn of the event loop, because this may be
/// called from its own promise.
void HttpEndpoint::close(ConnectionId Id) {
  const auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end() ||
      std::exchange(Found->second->m_IsClosing, true)) {
    return;
  }
  m_Loop.after(Duration(0), [this, Id] {
    const auto Closed = m_Connections.find(Id);
    if (Closed != m_Connections.end()) {
      releaseBody(*Closed->second);
      m_Connections.erase(Closed);
    }
  });
}

void HttpEndpoint::scheduleCheck() {
  if (std::exchange(m_IsCheckScheduled, true)) {
    return;
  }
  m_Loop.after(CheckInterval, [this] {
    m_IsCheckScheduled = false;
    closeExpired();
    if (!m_Connections.empty()) {
      scheduleCheck();
    }
  });
}

void HttpEndpoint::closeExpired() {
  const Instant Now = monotonicNow();
  std::vector<ConnectionId> Expired;
  for (const auto &[Id, Current] : m_Connections) {
    // KJ ends the wait for a header itself, but waits without a limit for a
    // client that does not read what KJ answers to a bad header.
    const unsigned Factor = Current->m_Phase == Phase::WaitsForRequest ? 2 : 1;
    if (!Current->m_IsClosing && Current->m_Phase != Phase::IsHandled &&
        Now - Current->m_Since > Factor * m_Limits.m_RequestTimeout) {
      Expired.push_back(Id);
    }
  }
  for (const ConnectionId Id : Expired) {
    m_Reporter.report("http_request_timeout_ms", "closed",
                      m_Connections.at(Id)->m_BodyBytes, Now);
    close(Id);
  }
}

kj::Promise<void> HttpEndpoint::request(Connection &From, kj::HttpMethod Method,
                                        kj::StringPtr Url,
                                        const kj::HttpHeaders &Headers,
                                        kj::AsyncInputStream &Body,
                                        kj::HttpService::Response &Answer) {
  HttpRequest Request;
  Request.m_Method = kj::str(Method).cStr();
  KJ_IF_MAYBE (Header, Headers.get(m_Authorization)) {
    Request.m_Token = bearerToken(*Header);
  }
  KJ_IF_MAYBE (Parsed, kj::Url::tryParse(Url, kj::Url::HTTP_REQUEST)) {
    for (const kj::String &Part : Parsed->path) {
      Request.m_Path += '/';
      Request.m_Path += Part.cStr();
    }
    for (const auto &Parameter : Parsed->query) {
      Request.m_Parameters[Parameter.name.cStr()] = Parameter.value.cStr();
    }
  } else {
    From.enter(Phase::SendsAnswer);
    return sendReply(Answer, HttpReply{StatusBadRequest, "text/plain",
                                       "malformed address\n"})
        .then([&From] { From.enter(Phase::WaitsForRequest); });
  }
  From.enter(Phase::ReadsBody);
  return readBody(From, Body)
      .then([this, &From, Request = std::move(Request)](
                unsigned Status) mutable -> kj::Promise<HttpReply> {
        if (Status == StatusPayloadTooLarge) {
          return HttpReply{Status, "text/plain", "body too large\n"};
        }
        if (Status != StatusOk) {
          m_Reporter.report("http_budget_bytes", "refused", m_BodyBytes,
                            monotonicNow());
          return HttpReply{Status, "text/plain", "too many requests\n"};
        }
        From.enter(Phase::IsHandled);
        Request.m_Body = std::move(From.m_Body);
        return m_Handle(std::move(Request));
      })
      .then([this, &From, &Answer](HttpReply Reply) {
        releaseBody(From);
        From.enter(Phase::SendsAnswer);
        return sendReply(Answer, std::move(Reply));
      })
      .then([&From] { From.enter(Phase::WaitsForRequest); });
}

/// Reads a body into Connection::m_Body; returns status 200, 413 if it is too
/// large, or 503 if the bodies of all requests are.
kj::Promise<unsigned> HttpEndpoint::readBody(Connection &From,
                                             kj::AsyncInputStream &Body) {
  const std::size_t Begin = From.m_Body.size();
  From.m_Body.resize(Begin + ReadBytes);
  return Body.tryRead(From.m_Body.data() + Begin, 1, ReadBytes)
      .then([this, &From, &Body,
             Begin](std::size_t Count) -> kj::Promise<unsigned> {
        From.m_Body.resize(Begin + Count);
        if (Count == 0) {
          return StatusOk;
        }
        From.m_BodyBytes += Count;
        m_BodyBytes += Count;
        if (From.m_Body.size() > m_Limits.m_MaxBody) {
          return StatusPayloadTooLarge;
        }
        if (m_BodyBytes > m_Limits.m_BudgetBytes) {
          return StatusUnavailable;
        }
        return readBody(From, Body);
      });
}

void HttpEndpoint::releaseBody(Connection &From) {
  m_BodyBytes -= std::exchange(From.m_BodyBytes, 0);
  std::string().swap(From.m_Body);
}

kj::Promise<void> HttpEndpoint::sendReply(kj::HttpService::Response &Answer,
                                          HttpReply Reply) {
  kj::HttpHeaders Headers(*m_Table);
  Headers.set(kj::HttpHeaderId::CONTENT_TYPE,
              kj::str(Reply.m_ContentType.c_str()));
  auto Stream = Answer.send(
      Reply.m_Status, Reply.m_Status < StatusBadRequest ? "OK" : "Error",
      Headers, static_cast<std::uint64_t>(Reply.m_Body.size()));
  auto Body = kj::heap<std::string>(std::move(Reply.m_Body));
  auto Written = Stream->write(Body->data(), Body->size());
  return Written.attach(kj::mv(Stream), kj::mv(Body));
}

kj::Promise<void> HttpEndpoint::handleApplicationError(
    kj::Exception Error, kj::Maybe<kj::HttpService::Response &> Answer) {
  logWarn(Part::Http, "An HTTP request failed: {}.",
          Error.getDescription().cStr());
  KJ_IF_MAYBE (Open, Answer) {
    constexpr unsigned StatusInternalError = 500;
    return sendReply(*Open, HttpReply{StatusInternalError, "text/plain",
                                      "internal error\n"});
  }
  return kj::READY_NOW;
}

} // namespace ragwortmux
