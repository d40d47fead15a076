#include "ragwortmux/Process/Operators/OperatorApi.h"

#include "ragwortmux/Process/Control/ControlQuery.h"
#include "ragwortmux/Process/Entry/EntryRole.h"
#include "ragwortmux/Process/Loop/MakeReplyPromise.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Operators/HttpStatus.h"
#include "ragwortmux/Process/Support/BackendAnnouncement.h"
#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "ragwortmux/Process/Support/Secret.h"

#include <boost/json.hpp>

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace ragwortmux {

namespace {

namespace json = boost::json;

constexpr std::string_view CataloguePath = "/v1/catalogue";
constexpr std::string_view WorkspacesPath = "/v1/workspaces";
/// Longest time for which an operator's call is retried.
constexpr Duration OperatorTimeout = std::chrono::seconds(5);

unsigned httpStatus(ResultCode Code) {
  switch (Code) {
  case ResultCode::Ok:
    return HttpOk;
  case ResultCode::CatalogueConflict:
    return HttpConflict;
  case ResultCode::CatalogueNotFound:
    return HttpNotFound;
  case ResultCode::Unauthorized:
    return HttpUnauthorized;
  case ResultCode::Unreachable:
  case ResultCode::NotLeader:
    return HttpUnavailable;
  default:
    return HttpBadRequest;
  }
}

json::object resultJson(ResultCode Code, const std::string &Reason) {
  json::object Object;
  Object["code"] = static_cast<unsigned>(Code);
  Object["result"] = resultCodeInfo(Code).m_Name;
  Object["reason"] = Reason;
  return Object;
}

HttpReply jsonReply(ResultCode Code, const json::object &Object) {
  return {httpStatus(Code), "application/json", json::serialize(Object) + "\n"};
}

HttpReply resultReply(ResultCode Code, const std::string &Reason) {
  return jsonReply(Code, resultJson(Code, Reason));
}

HttpReply textReply(unsigned Status, std::string Text) {
  return {Status, "text/plain", std::move(Text)};
}

HttpReply changeReply(const CommandReply &Reply) {
  const ControlResult &Result = Reply.m_Result;
  if (!Reply.m_Status.ok() && Result.ok()) {
    return resultReply(Reply.m_Status.m_Code, Reply.m_Status.m_Reason);
  }
  json::object Object = resultJson(Result.m_Code, Result.m_Reason);
  Object["revision"] = Result.m_Revision.value();
  if (Result.m_CurrentItem) {
    Object["winner"] =
        json::parse(formatCatalogueEntry(Result.m_CurrentItem->m_Entry));
    Object["winner_revision"] = Result.m_CurrentItem->m_Revision.value();
  }
  return jsonReply(Result.m_Code, Object);
}

HttpReply workspaceReply(const CommandReply &Reply) {
  const ControlResult &Result = Reply.m_Result;
  if (!Reply.m_Status.ok() && Result.ok()) {
    return resultReply(Reply.m_Status.m_Code, Reply.m_Status.m_Reason);
  }
  json::object Object = resultJson(Result.m_Code, Result.m_Reason);
  Object["revision"] = Result.m_Revision.value();
  return jsonReply(Result.m_Code, Object);
}

HttpReply conflictReply(Revision Current) {
  CommandReply Conflict;
  Conflict.m_Result = ControlResult::refused(
      ResultCode::CatalogueConflict, "the workspace has another revision");
  Conflict.m_Result.m_Revision = Current;
  return workspaceReply(Conflict);
}

/// The workspace \p Member of the answer to the query `workspace-edit`.
std::optional<WorkspaceItem> findWorkspaceIn(const std::string &Answer,
                                             const char *Member) {
  json::error_code Error;
  const json::value Parsed = json::parse(Answer, Error);
  const json::value *Found = Error || !Parsed.is_object()
                                 ? nullptr
                                 : Parsed.get_object().if_contains(Member);
  return Found == nullptr ? std::nullopt : parseWholeWorkspace(*Found);
}

std::string parameter(const HttpRequest &Request, const std::string &Name) {
  const auto Found = Request.m_Parameters.find(Name);
  return Found == Request.m_Parameters.end() ? "" : Found->second;
}

std::optional<Revision> parseRevision(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End) {
    return std::nullopt;
  }
  return Revision(Value);
}

ServerAnnouncement toServerAnnouncement(const BackendAnnouncement &Received) {
  ServerAnnouncement Announcement;
  Announcement.m_Group = Received.m_Group;
  Announcement.m_Server = Received.m_Server;
  Announcement.m_Domain = Received.m_Domain;
  Announcement.m_Address = Received.m_Address;
  Announcement.m_Port = Received.m_Port;
  Announcement.m_Role = Received.m_Role == AnnouncedRole::Primary
                            ? BackendRole::Primary
                            : BackendRole::Replica;
  Announcement.m_Point = {Received.m_Term, Received.m_Position};
  Announcement.m_Slots = Received.m_Slots;
  Announcement.m_ConnectionLimit = Received.m_Connections;
  Announcement.m_Leaving = Received.m_Leaving;
  return Announcement;
}

} // namespace

OperatorApi::OperatorApi(const Secret &Token, const Metrics &ProcessMetrics,
                         EntryRole *Entry, OperatorApiHooks Hooks)
    : m_Token(Token), m_Metrics(ProcessMetrics), m_Entry(Entry),
      m_Hooks(std::move(Hooks)) {}

kj::Promise<HttpReply> OperatorApi::handle(const HttpRequest &Request) {
  if (Request.m_Path == "/healthz") {
    return textReply(HttpOk, "alive\n");
  }
  if (Request.m_Path == "/readyz") {
    const bool Ready = m_Hooks.m_Ready();
    return textReply(Ready ? HttpOk : HttpUnavailable,
                     Ready ? "ready\n" : "not ready\n");
  }
  if (Request.m_Path == "/metrics") {
    return HttpReply{HttpOk, PrometheusContentType,
                     m_Metrics.renderPrometheus()};
  }
  if (Request.m_Path == "/v1/announce" && Request.m_Method == "POST") {
    return announce(Request);
  }
  if (!m_Token.matches(Request.m_Token)) {
    return resultReply(ResultCode::Unauthorized,
                       "the operator's token is required");
  }
  return handleOperator(Request);
}

HttpReply OperatorApi::announce(const HttpRequest &Request) {
  std::vector<SettingFault> Faults;
  const auto Announcement = parseBackendAnnouncement(Request.m_Body, Faults);
  if (!Announcement) {
    return textReply(HttpBadRequest, describeAll(Faults));
  }
  if (m_Entry == nullptr) {
    return textReply(HttpNotFound, "announce to an entry host\n");
  }
  m_Entry->control().announce(toServerAnnouncement(*Announcement));
  return textReply(HttpAccepted, "");
}

kj::Promise<HttpReply> OperatorApi::handleOperator(const HttpRequest &Request) {
  if (Request.m_Path == "/v1/drain" && Request.m_Method == "POST") {
    m_Hooks.m_Drain();
    return resultReply(ResultCode::Ok, "draining");
  }
  if (Request.m_Path == "/v1/status" && m_Entry == nullptr) {
    return HttpReply{HttpOk, "application/json",
                     "{\"process\":" + m_Hooks.m_LocalStatus() + "}\n"};
  }
  if (m_Entry == nullptr) {
    return resultReply(ResultCode::CatalogueNotFound,
                       "operators' calls go to an entry host");
  }
  if (Request.m_Path == "/v1/status") {
    // The process's own status is shown even if control cannot be reached.
    return query("status", "").then([this](HttpReply Cluster) {
      const std::string ClusterStatus = Cluster.m_Status == HttpOk
                                            ? std::move(Cluster.m_Body)
                                            : std::string("null");
      return HttpReply{HttpOk, "application/json",
                       "{\"process\":" + m_Hooks.m_LocalStatus() +
                           ",\"cluster\":" + ClusterStatus + "}\n"};
    });
  }
  if (Request.m_Path.starts_with(CataloguePath)) {
    return handleCatalogue(Request);
  }
  if (Request.m_Path.starts_with(WorkspacesPath)) {
    return handleWorkspaces(Request);
  }
  return resultReply(ResultCode::CatalogueNotFound, "there is no such path");
}

kj::Promise<HttpReply>
OperatorApi::handleCatalogue(const HttpRequest &Request) {
  constexpr std::string_view HistorySuffix = "/history";
  std::string Name = Request.m_Path.substr(CataloguePath.size());
  if (Name.empty() || Name == "/") {
    return query("entries", "");
  }
  Name.erase(0, 1);
  if (Request.m_Method == "PUT" || Request.m_Method == "DELETE") {
    return changeEntry(Request, Name);
  }
  if (Name.ends_with(HistorySuffix)) {
    Name.resize(Name.size() - HistorySuffix.size());
    return query("history", Name);
  }
  return query("entry", Name);
}

kj::Promise<HttpReply> OperatorApi::query(const std::string &QueryKind,
                                          const std::string &Name) {
  return makeReplyPromise<QueryReply>([&](auto Respond) {
           m_Entry->control().query(QueryKind, Name,
                                    monotonicNow() + OperatorTimeout, Respond);
         })
      .then([](QueryReply Reply) {
        return Reply.m_Status.ok() ? HttpReply{HttpOk, "application/json",
                                               std::move(Reply.m_Json)}
                                   : resultReply(Reply.m_Status.m_Code,
                                                 Reply.m_Status.m_Reason);
      });
}

kj::Promise<HttpReply> OperatorApi::changeEntry(const HttpRequest &Request,
                                                const std::string &Name) {
  const auto Expected = parseRevision(parameter(Request, "expect_revision"));
  const ChangeId Change(parameter(Request, "change_id"));
  const std::string Operator = parameter(Request, "operator");
  if (!Expected || Change.value().empty()) {
    return resultReply(ResultCode::BadArgument,
                       "expect_revision and change_id are needed");
  }
  ControlCommand Command =
      DeleteEntry{*Expected, Change, Operator, EntryName(Name)};
  if (Request.m_Method == "PUT") {
    std::vector<SettingFault> Faults;
    const auto Entry = parseCatalogueEntry(Request.m_Body, Faults);
    if (!Entry || Entry->m_Name.value() != Name) {
      return resultReply(ResultCode::CatalogueInvalid,
                         Entry ? "the name differs from the path's"
                               : describeAll(Faults));
    }
    Command = PutEntry{*Expected, Change, Operator, *Entry};
  }
  return makeReplyPromise<CommandReply>([&](auto Respond) {
           m_Entry->control().command(Command, monotonicNow() + OperatorTimeout,
                                      Respond);
         })
      .then([](const CommandReply &Reply) { return changeReply(Reply); });
}

kj::Promise<HttpReply>
OperatorApi::handleWorkspaces(const HttpRequest &Request) {
  std::string Name = Request.m_Path.substr(WorkspacesPath.size());
  if (!Name.empty() && !Name.starts_with('/')) {
    return resultReply(ResultCode::CatalogueNotFound, "there is no such path");
  }
  Name.erase(0, 1);
  if (Request.m_Method == "GET") {
    return Name.empty() ? query("workspaces", parameter(Request, "after"))
                        : query("workspace", Name);
  }
  if (Request.m_Method == "PUT") {
    return changeWorkspace(Request, WorkspaceAction::Put, Name);
  }
  if (Request.m_Method == "DELETE") {
    return changeWorkspace(Request, WorkspaceAction::Delete, Name);
  }
  const auto Action = parseWorkspaceAction(parameter(Request, "action"));
  const bool IsPosted = Action == WorkspaceAction::AddKey ||
                        Action == WorkspaceAction::RemoveKey ||
                        Action == WorkspaceAction::SetLimit;
  if (Request.m_Method != "POST" || !IsPosted) {
    return resultReply(ResultCode::BadArgument,
                       "action is add-key, remove-key or set-limit");
  }
  return changeWorkspace(Request, *Action, Name);
}

kj::Promise<HttpReply> OperatorApi::changeWorkspace(const HttpRequest &Request,
                                                    WorkspaceAction Action,
                                                    const std::string &Name) {
  const auto Expected = parseRevision(parameter(Request, "expect_revision"));
  const ChangeId Change(parameter(Request, "change_id"));
  const std::string Operator = parameter(Request, "operator");
  if (!Expected || Change.value().empty()) {
    return resultReply(ResultCode::BadArgument,
                       "expect_revision and change_id are needed");
  }
  Workspace Changed;
  Changed.m_Name = WorkspaceId(Name);
  if (const std::string Reason = Changed.validate(); !Reason.empty()) {
    return resultReply(ResultCode::CatalogueInvalid, Reason);
  }
  if (Action == WorkspaceAction::Delete) {
    return sendWorkspaceChange(
        DeleteWorkspace{*Expected, Change, Operator, Changed.m_Name});
  }
  std::vector<SettingFault> Faults;
  const auto Edit = parseWorkspaceEdit(Action, Request.m_Body, Faults);
  if (!Edit) {
    return resultReply(ResultCode::CatalogueInvalid, describeAll(Faults));
  }
  return editWorkspace(*Edit,
                       PutWorkspace{*Expected, Change, Operator, Changed});
}

kj::Promise<HttpReply> OperatorApi::editWorkspace(const WorkspaceEdit &Edit,
                                                  PutWorkspace Command) {
  const std::string Query = workspaceEditQuery(
      Command.m_Workspace.m_Name.value(), Command.m_Change.value());
  return makeReplyPromise<QueryReply>([&](auto Respond) {
           m_Entry->control().query("workspace-edit", Query,
                                    monotonicNow() + OperatorTimeout, Respond);
         })
      .then([this, Edit, Command = std::move(Command)](
                const QueryReply &Reply) mutable -> kj::Promise<HttpReply> {
        if (!Reply.m_Status.ok()) {
          return resultReply(Reply.m_Status.m_Code, Reply.m_Status.m_Reason);
        }
        // A resend has to name the same workspace as the change that was
        // accepted, whatever has been changed since.
        auto Base = findWorkspaceIn(Reply.m_Json, "accepted");
        const bool IsResend = Base.has_value();
        if (!IsResend) {
          Base = findWorkspaceIn(Reply.m_Json, "current");
          const Revision Current = Base ? Base->m_Revision : Revision();
          if (Current != Command.m_Expected) {
            return conflictReply(Current);
          }
        }
        if (Base) {
          const WorkspaceId Name = Command.m_Workspace.m_Name;
          Command.m_Workspace = std::move(Base->m_Workspace);
          Command.m_Workspace.m_Name = Name;
        } else if (Edit.m_Action != WorkspaceAction::Put) {
          return resultReply(ResultCode::CatalogueNotFound,
                             "there is no workspace of this name");
        }
        const std::string Reason =
            applyWorkspaceEdit(Edit, IsResend, Command.m_Workspace);
        if (!Reason.empty()) {
          return resultReply(ResultCode::CatalogueInvalid, Reason);
        }
        return sendWorkspaceChange(Command);
      });
}

kj::Promise<HttpReply>
OperatorApi::sendWorkspaceChange(const ControlCommand &Command) {
  return makeReplyPromise<CommandReply>([&](auto Respond) {
           m_Entry->control().command(Command, monotonicNow() + OperatorTimeout,
                                      Respond);
         })
      .then([](const CommandReply &Reply) { return workspaceReply(Reply); });
}

} // namespace ragwortmux
