#include "ragwortmux/Process/Control/ControlQuery.h"

#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Process/Support/WorkspaceJson.h"
#include "ragwortmux/Version/ControlState.h"

#include <boost/json.hpp>

namespace ragwortmux {

namespace {

namespace json = boost::json;

/// Workspaces in one answer to the query `workspaces`.
constexpr std::size_t MaxListedWorkspaces = 1000;
/// Stands between name and change id; a workspace's name cannot contain it.
constexpr char EditSeparator = '\n';

std::string_view syncName(SyncState Sync) {
  switch (Sync) {
  case SyncState::InSync:
    return "in-sync";
  case SyncState::Joining:
    return "joining";
  default:
    return "behind";
  }
}

json::object itemJson(const CatalogueItem &Item) {
  json::object Object =
      json::parse(formatCatalogueEntry(Item.m_Entry)).as_object();
  Object["revision"] = Item.m_Revision.value();
  return Object;
}

json::object changeJson(const CatalogueChange &Change) {
  json::object Object;
  Object["revision"] = Change.m_Revision.value();
  Object["replaced_revision"] = Change.m_Expected.value();
  Object["change_id"] = Change.m_Change.value();
  Object["operator"] = Change.m_Operator;
  Object["at_ms"] = Change.m_At.time_since_epoch().count();
  Object["deleted"] = Change.m_Deleted;
  Object["entry"] = json::parse(formatCatalogueEntry(Change.m_Entry));
  return Object;
}

json::object serverJson(const ControlState &State, const GroupRecord &Group,
                        const ServerRecord &Server) {
  json::object Object;
  Object["server"] = Server.m_Server.value();
  Object["domain"] = Server.m_Domain.value();
  Object["address"] = Server.m_Address;
  Object["port"] = Server.m_Port;
  Object["sync"] = syncName(Server.m_Sync);
  Object["leaving"] = Server.m_Leaving;
  Object["announced"] = Server.m_Announced;
  Object["slots"] = Server.m_Slots;
  Object["connections_granted"] =
      State.shares().maxOpen(Group.m_Group, Server.m_Server);
  return Object;
}

json::object groupJson(const ControlState &State, const GroupRecord &Group) {
  json::object Object;
  Object["group"] = Group.m_Group.value();
  Object["revision"] = Group.m_Revision.value();
  Object["term"] = Group.m_Term.value();
  Object["primary"] = Group.m_Primary ? json::value(Group.m_Primary->value())
                                      : json::value(nullptr);
  json::array Servers;
  for (const auto &[Id, Server] : Group.m_Servers) {
    Servers.push_back(serverJson(State, Group, Server));
  }
  Object["servers"] = std::move(Servers);
  return Object;
}

json::object sessionJson(const SessionRecord &Session) {
  json::object Object;
  Object["session"] = Session.m_Session.value();
  Object["host"] = Session.m_Host.value();
  Object["domain"] = Session.m_Domain.value();
  Object["address"] = Session.m_Address;
  Object["rpc_port"] = Session.m_RpcPort;
  return Object;
}

std::string statusJson(const ControlState &State) {
  json::array Groups;
  State.groups().forEachGroup([&](const GroupRecord &Group) {
    Groups.push_back(groupJson(State, Group));
  });
  json::array Sessions;
  State.sessions().forEachSession([&](const SessionRecord &Session) {
    Sessions.push_back(sessionJson(Session));
  });
  json::array Homes;
  for (const HostId &Host : State.homes().m_Active) {
    Homes.push_back(json::value(Host.value()));
  }
  json::object Object;
  Object["catalogue_revision"] = State.catalogue().revision().value();
  Object["workspaces"] = State.catalogue().workspaces().size();
  Object["ledger_keys"] = State.ledger().size();
  Object["groups"] = std::move(Groups);
  Object["sessions"] = std::move(Sessions);
  Object["session_homes"] = std::move(Homes);
  return json::serialize(Object);
}

std::string workspaceListJson(const WorkspaceTable &Table,
                              const std::string &After) {
  json::array Rows;
  bool HasMore = false;
  Table.forEach([&](const WorkspaceItem &Item) {
    if (Item.m_Workspace.m_Name.value() <= After)
      return;
    HasMore = Rows.size() >= MaxListedWorkspaces;
    if (!HasMore)
      Rows.push_back(shownWorkspaceJson(Item));
  });
  json::object Object;
  Object["total"] = Table.size();
  Object["has_more"] = HasMore;
  Object["workspaces"] = std::move(Rows);
  return json::serialize(Object);
}

/// The workspace as it is, and as the change left it if the change is a resend.
std::string workspaceEditJson(const WorkspaceTable &Table,
                              const std::string &Query) {
  const std::size_t End = Query.find(EditSeparator);
  const WorkspaceItem *Item = Table.find(WorkspaceId(Query.substr(0, End)));
  const WorkspaceChange *Accepted =
      End == std::string::npos
          ? nullptr
          : Table.findChange(ChangeId(Query.substr(End + 1)));
  json::object Object;
  if (Item != nullptr)
    Object["current"] = wholeWorkspaceJson(*Item);
  if (Accepted != nullptr)
    Object["accepted"] =
        wholeWorkspaceJson({Accepted->m_Revision, Accepted->m_Workspace});
  return json::serialize(Object);
}

} // namespace

std::string workspaceEditQuery(const std::string &Name,
                               const std::string &Change) {
  return Name + EditSeparator + Change;
}

std::optional<std::string> controlQueryJson(const ControlState &State,
                                            const std::string &QueryKind,
                                            const std::string &Name) {
  if (QueryKind == "status") {
    return statusJson(State);
  }
  if (QueryKind == "document") {
    return State.catalogue().document();
  }
  if (QueryKind == "entry") {
    const CatalogueItem *Item = State.catalogue().find(EntryName(Name));
    return Item == nullptr ? std::nullopt
                           : std::optional(json::serialize(itemJson(*Item)));
  }
  const WorkspaceTable &Workspaces = State.catalogue().workspaces();
  if (QueryKind == "workspace") {
    const WorkspaceItem *Item = Workspaces.find(WorkspaceId(Name));
    return Item == nullptr
               ? std::nullopt
               : std::optional(json::serialize(shownWorkspaceJson(*Item)));
  }
  if (QueryKind == "workspaces") {
    return workspaceListJson(Workspaces, Name);
  }
  if (QueryKind == "workspace-edit") {
    return workspaceEditJson(Workspaces, Name);
  }
  json::array Rows;
  if (QueryKind == "entries") {
    State.catalogue().forEachEntry(
        [&](const CatalogueItem &Item) { Rows.push_back(itemJson(Item)); });
    return json::serialize(Rows);
  }
  if (QueryKind == "history") {
    State.catalogue().forEachChange(EntryName(Name),
                                    [&](const CatalogueChange &Change) {
                                      Rows.push_back(changeJson(Change));
                                    });
    return json::serialize(Rows);
  }
  return std::nullopt;
}

} // namespace ragwortmux
