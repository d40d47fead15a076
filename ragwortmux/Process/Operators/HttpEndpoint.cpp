#include "ragwortmux/Process/Operators/HttpEndpoint.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Support/Log.h"

#include <kj/compat/url.h>

#include <string_view>

namespace ragwortmux {

namespace {

constexpr unsigned StatusPayloadTooLarge = 413;
constexpr unsigned StatusBadRequest = 400;

std::string bearerToken(kj::StringPtr Header) {
  constexpr std::string_view Prefix = "Bearer ";
  const std::string_view Text(Header.cStr(), Header.size());
  return Text.starts_with(Prefix) ? std::string(Text.substr(Prefix.size()))
                                  : std::string();
}

} // namespace

HttpEndpoint::HttpEndpoint(IoLoop &Loop, Handler Handle, std::size_t MaxBody)
    : m_Loop(Loop), m_Handle(std::move(Handle)), m_MaxBody(MaxBody),
      m_Authorization(m_Builder.add("Authorization")),
      m_Table(m_Builder.build()),
      m_Server(Loop.timer(), *m_Table, *this, [this] {
        kj::HttpServerSettings Settings;
        Settings.errorHandler =
            static_cast<kj::HttpServerErrorHandler &>(*this);
        return Settings;
      }()) {}

std::uint16_t HttpEndpoint::listen(const std::string &Address,
                                   std::uint16_t Port) {
  auto Parsed =
      m_Loop.network().parseAddress(Address, Port).wait(m_Loop.waitScope());
  m_Receiver = Parsed->listen();
  m_Loop.spawn(m_Server.listenHttp(*m_Receiver));
  return static_cast<std::uint16_t>(m_Receiver->getPort());
}

kj::Promise<void> HttpEndpoint::request(kj::HttpMethod Method,
                                        kj::StringPtr Url,
                                        const kj::HttpHeaders &Headers,
                                        kj::AsyncInputStream &Body,
                                        Response &Answer) {
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
    return sendReply(Answer, HttpReply{StatusBadRequest, "text/plain",
                                       "malformed address\n"});
  }
  // Reading one byte more than allowed distinguishes a body that is too long
  // from one of the largest allowed size.
  return Body.readAllBytes(m_MaxBody + 1)
      .then(
          [this, Request = std::move(Request)](
              kj::Array<kj::byte> Bytes) mutable -> kj::Promise<HttpReply> {
            Request.m_Body.assign(Bytes.asChars().begin(), Bytes.size());
            return m_Handle(std::move(Request));
          },
          [](kj::Exception &&) -> kj::Promise<HttpReply> {
            return HttpReply{StatusPayloadTooLarge, "text/plain",
                             "body too large\n"};
          })
      .then([this, &Answer](HttpReply Reply) {
        return sendReply(Answer, std::move(Reply));
      });
}

kj::Promise<void> HttpEndpoint::sendReply(Response &Answer, HttpReply Reply) {
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

kj::Promise<void>
HttpEndpoint::handleApplicationError(kj::Exception Error,
                                     kj::Maybe<Response &> Answer) {
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
