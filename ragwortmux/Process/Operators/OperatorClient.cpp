#include "ragwortmux/Process/Operators/OperatorClient.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Loop/SystemRandom.h"
#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Process/Support/Secret.h"
#include "ragwortmux/Process/Support/UuidV7.h"

#include <kj/compat/http.h>
#include <kj/debug.h>
#include <kj/encoding.h>

#include <cstdio>

namespace ragwortmux {

namespace {

constexpr int ExitFailed = 1;
constexpr unsigned FirstErrorStatus = 400;
constexpr kj::Duration CallTimeout = 10 * kj::SECONDS;

std::string percentEncoded(const std::string &Text) {
  return kj::encodeUriComponent(kj::StringPtr(Text.c_str(), Text.size()))
      .cStr();
}

std::string newChangeId() {
  return makeRequestKey(wallNow(), systemRandom).value();
}

template <typename ChangeCommand>
std::string changeQuery(const ChangeCommand &Command) {
  const std::string Change = Command.m_Change.value().empty()
                                 ? newChangeId()
                                 : Command.m_Change.value();
  return "?expect_revision=" +
         std::to_string(Command.m_ExpectRevision.value()) +
         "&change_id=" + percentEncoded(Change) +
         "&operator=" + percentEncoded(Command.m_Operator);
}

} // namespace

int OperatorClient::run(const CatalogueCommand &Command) const {
  const std::string Base = "/v1/catalogue";
  const std::string Entry =
      Base + "/" + percentEncoded(Command.m_Entry.m_Name.value());
  switch (Command.m_Action) {
  case CatalogueAction::Put:
    return call(Command.m_Target, "PUT", Entry + changeQuery(Command),
                formatCatalogueEntry(Command.m_Entry));
  case CatalogueAction::Delete:
    return call(Command.m_Target, "DELETE", Entry + changeQuery(Command), "");
  case CatalogueAction::Get:
    return call(Command.m_Target, "GET", Entry, "");
  case CatalogueAction::History:
    return call(Command.m_Target, "GET", Entry + "/history", "");
  case CatalogueAction::List:
    break;
  }
  return call(Command.m_Target, "GET", Base, "");
}

int OperatorClient::run(const WorkspaceCommand &Command) const {
  const std::string Base = "/v1/workspaces";
  const std::string Name = percentEncoded(Command.m_Name.value());
  const std::string Path = Base + "/" + Name;
  const WorkspaceAction Action = Command.m_Edit.m_Action;
  switch (Action) {
  case WorkspaceAction::List:
    break;
  case WorkspaceAction::Show:
    return call(Command.m_Target, "GET", Path, "");
  case WorkspaceAction::Put:
    return call(Command.m_Target, "PUT", Path + changeQuery(Command),
                formatWorkspaceEdit(Command.m_Edit));
  case WorkspaceAction::Delete:
    return call(Command.m_Target, "DELETE", Path + changeQuery(Command), "");
  case WorkspaceAction::AddKey:
  case WorkspaceAction::RemoveKey:
  case WorkspaceAction::SetLimit:
    return call(Command.m_Target, "POST",
                Path + changeQuery(Command) +
                    "&action=" + std::string(workspaceActionName(Action)),
                formatWorkspaceEdit(Command.m_Edit));
  }
  return call(Command.m_Target, "GET", Base + "?after=" + Name, "");
}

int OperatorClient::run(const StatusCommand &Command) const {
  return call(Command.m_Target, "GET", "/v1/status", "");
}

int OperatorClient::run(const DrainCommand &Command) const {
  return call(Command.m_Target, "POST", "/v1/drain", "");
}

int OperatorClient::call(const SocketAddress &At, const std::string &Method,
                         const std::string &Path,
                         const std::string &Body) const {
  IoLoop Loop;
  kj::HttpHeaderTable::Builder Builder;
  const kj::HttpHeaderId Authorization = Builder.add("Authorization");
  const auto Table = Builder.build();
  auto Address = Loop.network()
                     .parseAddress(At.m_Address, At.m_Port)
                     .wait(Loop.waitScope());
  auto Client = kj::newHttpClient(Loop.timer(), *Table, *Address);
  kj::HttpHeaders Headers(*Table);
  Headers.set(Authorization, kj::str("Bearer ", m_Token.plainText().c_str()));
  Headers.set(kj::HttpHeaderId::HOST, kj::str(At.m_Address.c_str()));
  std::string Answer;
  unsigned Status = 0;
  // KJ throws if the host cannot be reached; the exception is caught here.
  const auto Failure = kj::runCatchingExceptions([&] {
    const auto Verb = KJ_ASSERT_NONNULL(kj::tryParseHttpMethod(Method.c_str()));
    auto Request = Client->request(Verb, Path.c_str(), Headers,
                                   static_cast<std::uint64_t>(Body.size()));
    if (!Body.empty()) {
      Request.body->write(Body.data(), Body.size()).wait(Loop.waitScope());
    }
    Request.body = nullptr;
    auto Response = Loop.timer()
                        .timeoutAfter(CallTimeout, kj::mv(Request.response))
                        .wait(Loop.waitScope());
    Status = Response.statusCode;
    Answer = Response.body->readAllText().wait(Loop.waitScope()).cStr();
  });
  KJ_IF_MAYBE (Error, Failure) {
    std::fprintf(stderr, "%u %s: %s\n",
                 static_cast<unsigned>(ResultCode::Unreachable),
                 resultCodeInfo(ResultCode::Unreachable).m_Name.data(),
                 Error->getDescription().cStr());
    return ExitFailed;
  }
  if (!Answer.empty() && Answer.back() != '\n') {
    Answer += '\n';
  }
  std::fputs(Answer.c_str(), Status < FirstErrorStatus ? stdout : stderr);
  return Status < FirstErrorStatus ? 0 : ExitFailed;
}

} // namespace ragwortmux
