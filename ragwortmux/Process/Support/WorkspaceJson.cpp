#include "ragwortmux/Process/Support/WorkspaceJson.h"

#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Process/Support/JsonFields.h"
#include "ragwortmux/Process/Support/KeyText.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace ragwortmux {

namespace {

namespace json = boost::json;

/// An action and its name.
struct ActionName final {
  WorkspaceAction m_Action; ///< The action.
  std::string_view m_Word;  ///< The name.
};

constexpr std::array<ActionName, 7> ActionNames = {
    {{WorkspaceAction::List, "list"},
     {WorkspaceAction::Show, "show"},
     {WorkspaceAction::Put, "put"},
     {WorkspaceAction::Delete, "delete"},
     {WorkspaceAction::AddKey, "add-key"},
     {WorkspaceAction::RemoveKey, "remove-key"},
     {WorkspaceAction::SetLimit, "set-limit"}}};

constexpr const char *AllowedDigest = "64 hexadecimal digits in lower case";
/// Upper bound of a field; Workspace::validate() has a lower one.
constexpr std::uint64_t MaxNumber = std::numeric_limits<std::uint32_t>::max();

void addFault(std::vector<SettingFault> &Faults, std::string Name,
              std::string Value, std::string Allowed) {
  Faults.push_back({ResultCode::CatalogueInvalid, std::move(Name),
                    std::move(Value), std::move(Allowed)});
}

std::string_view viewOf(const json::string &Text) {
  return {Text.data(), Text.size()};
}

/// Removes the list of digests from \p Object and returns it; none if there is
/// no such list. An element that is not a digest may be a key, so it is not
/// shown.
std::optional<std::vector<KeyDigest>>
takeDigests(json::object &Object, std::vector<SettingFault> &Faults) {
  constexpr const char *Name = "key_digests";
  const json::value *Found = Object.if_contains(Name);
  if (Found == nullptr)
    return std::nullopt;
  std::vector<KeyDigest> Digests;
  bool AreAllValid = Found->is_array();
  if (const json::array *List = Found->if_array()) {
    for (const json::value &Element : *List) {
      const json::string *Text = Element.if_string();
      auto Digest = Text == nullptr ? std::nullopt : parseDigest(viewOf(*Text));
      AreAllValid = AreAllValid && Digest.has_value();
      if (Digest)
        Digests.push_back(std::move(*Digest));
    }
  }
  if (!AreAllValid)
    addFault(Faults, Name, "(not shown)",
             std::string("a list of digests: ") + AllowedDigest);
  Object.erase(Name);
  return Digests;
}

/// Removes the text \p Name from \p Object and returns it. A text that \p Check
/// refuses may be a key, so it is not shown.
std::string takeDigestText(json::object &Object, const char *Name,
                           bool (*Check)(std::string_view), const char *Allowed,
                           std::vector<SettingFault> &Faults) {
  const json::value *Found = Object.if_contains(Name);
  const json::string *Text = Found == nullptr ? nullptr : Found->if_string();
  std::string Result;
  if (Text != nullptr && Check(viewOf(*Text)))
    Result = viewOf(*Text);
  else
    addFault(Faults, Name, Found == nullptr ? "(missing)" : "(not shown)",
             Allowed);
  Object.erase(Name);
  return Result;
}

WorkspaceLimit readLimit(JsonFields &Fields,
                         std::optional<std::uint64_t> Fallback) {
  WorkspaceLimit Limit;
  Limit.m_RatePerSecond = static_cast<std::uint32_t>(
      Fields.number("rate_per_s", 0, MaxNumber, Fallback));
  Limit.m_Burst = static_cast<std::uint32_t>(
      Fields.number("burst", 0, MaxNumber, Fallback));
  return Limit;
}

/// Removes the one key whose digest begins with \p Prefix.
std::string removeKey(const std::string &Prefix, Workspace &Changed) {
  const auto IsMeant = [&Prefix](const KeyDigest &Key) {
    return formatDigest(Key).starts_with(Prefix);
  };
  const auto Count = std::ranges::count_if(Changed.m_Keys, IsMeant);
  if (Count == 0)
    return "the workspace has no such key";
  if (Count > 1)
    return "the workspace has several keys that begin with these digits";
  std::erase_if(Changed.m_Keys, IsMeant);
  return {};
}

json::object baseJson(const WorkspaceItem &Item) {
  json::object Object;
  Object["name"] = toJsonText(Item.m_Workspace.m_Name.value());
  Object["revision"] = Item.m_Revision.value();
  Object["rate_per_s"] = Item.m_Workspace.m_Limit.m_RatePerSecond;
  Object["burst"] = Item.m_Workspace.m_Limit.m_Burst;
  return Object;
}

/// Removes the values from the faults behind the first \p Start ones: a value
/// in the wrong place may be a key.
void hideValues(std::vector<SettingFault> &Faults, std::size_t Start) {
  for (std::size_t Index = Start; Index < Faults.size(); ++Index)
    Faults[Index].m_Value = "(not shown)";
}

} // namespace

std::string_view workspaceActionName(WorkspaceAction Action) {
  return std::ranges::find(ActionNames, Action, &ActionName::m_Action)->m_Word;
}

std::optional<WorkspaceAction> parseWorkspaceAction(std::string_view Word) {
  const auto *Found = std::ranges::find(ActionNames, Word, &ActionName::m_Word);
  if (Found == ActionNames.end())
    return std::nullopt;
  return Found->m_Action;
}

std::string formatWorkspaceEdit(const WorkspaceEdit &Edit) {
  json::object Object;
  if (Edit.m_Action == WorkspaceAction::Put ||
      Edit.m_Action == WorkspaceAction::SetLimit) {
    Object["rate_per_s"] = Edit.m_Limit.m_RatePerSecond;
    Object["burst"] = Edit.m_Limit.m_Burst;
  }
  if (Edit.m_Action == WorkspaceAction::Put && Edit.m_Keys) {
    json::array Digests;
    for (const KeyDigest &Key : *Edit.m_Keys)
      Digests.push_back(json::value(formatDigest(Key)));
    Object["key_digests"] = std::move(Digests);
  }
  if (Edit.m_Action == WorkspaceAction::AddKey && Edit.m_Keys)
    Object["key_digest"] = formatDigest(Edit.m_Keys->front());
  if (Edit.m_Action == WorkspaceAction::RemoveKey)
    Object["key_digest"] = Edit.m_KeyDigest;
  return json::serialize(Object);
}

std::optional<WorkspaceEdit>
parseWorkspaceEdit(WorkspaceAction Action, std::string_view Text,
                   std::vector<SettingFault> &Faults) {
  const std::size_t Before = Faults.size();
  auto Object =
      parseJsonObject(Text, MaxJsonBytes, ResultCode::CatalogueInvalid, Faults);
  if (!Object) {
    hideValues(Faults, Before);
    return std::nullopt;
  }
  WorkspaceEdit Edit;
  Edit.m_Action = Action;
  if (Action == WorkspaceAction::Put)
    Edit.m_Keys = takeDigests(*Object, Faults);
  if (Action == WorkspaceAction::AddKey) {
    const std::string Digest = takeDigestText(
        *Object, "key_digest",
        [](std::string_view Given) { return parseDigest(Given).has_value(); },
        AllowedDigest, Faults);
    Edit.m_Keys.emplace();
    if (auto Parsed = parseDigest(Digest))
      Edit.m_Keys->push_back(std::move(*Parsed));
  }
  if (Action == WorkspaceAction::RemoveKey)
    Edit.m_KeyDigest =
        takeDigestText(*Object, "key_digest", isDigestPrefix,
                       "8 to 64 hexadecimal digits in lower case", Faults);
  JsonFields Fields(*Object, ResultCode::CatalogueInvalid, Faults);
  if (Action == WorkspaceAction::Put)
    Edit.m_Limit = readLimit(Fields, 0);
  if (Action == WorkspaceAction::SetLimit)
    Edit.m_Limit = readLimit(Fields, std::nullopt);
  const std::size_t BeforeUnknown = Faults.size();
  Fields.rejectUnknownFields();
  hideValues(Faults, BeforeUnknown);
  if (Faults.size() != Before)
    return std::nullopt;
  return Edit;
}

std::string applyWorkspaceEdit(const WorkspaceEdit &Edit, bool IsResend,
                               Workspace &Changed) {
  switch (Edit.m_Action) {
  case WorkspaceAction::Put:
    Changed.m_Limit = Edit.m_Limit;
    Changed.m_Keys = Edit.m_Keys.value_or(Changed.m_Keys);
    return {};
  case WorkspaceAction::SetLimit:
    Changed.m_Limit = Edit.m_Limit;
    return {};
  case WorkspaceAction::AddKey: {
    const KeyDigest &Key = Edit.m_Keys->front();
    const bool IsPresent =
        std::ranges::find(Changed.m_Keys, Key) != Changed.m_Keys.end();
    if (!IsPresent)
      Changed.m_Keys.push_back(Key);
    return IsPresent && !IsResend ? "the workspace has this key already" : "";
  }
  case WorkspaceAction::RemoveKey: {
    std::string Reason = removeKey(Edit.m_KeyDigest, Changed);
    return IsResend ? "" : Reason;
  }
  case WorkspaceAction::List:
  case WorkspaceAction::Show:
  case WorkspaceAction::Delete:
    break;
  }
  return "this action changes no workspace";
}

json::object shownWorkspaceJson(const WorkspaceItem &Item) {
  json::object Object = baseJson(Item);
  json::array Keys;
  for (const KeyDigest &Key : Item.m_Workspace.m_Keys)
    Keys.push_back(json::value(formatShortDigest(Key)));
  Object["keys"] = std::move(Keys);
  return Object;
}

json::object wholeWorkspaceJson(const WorkspaceItem &Item) {
  json::object Object = baseJson(Item);
  json::array Keys;
  for (const KeyDigest &Key : Item.m_Workspace.m_Keys)
    Keys.push_back(json::value(formatDigest(Key)));
  Object["key_digests"] = std::move(Keys);
  return Object;
}

std::optional<WorkspaceItem> parseWholeWorkspace(const json::value &In) {
  if (!In.is_object())
    return std::nullopt;
  json::object Object = In.get_object();
  std::vector<SettingFault> Faults;
  WorkspaceItem Item;
  auto Keys = takeDigests(Object, Faults);
  JsonFields Fields(Object, ResultCode::CatalogueInvalid, Faults);
  Item.m_Workspace.m_Name = WorkspaceId(Fields.text(
      "name", [](std::string_view) { return true; }, "a name"));
  Item.m_Revision = Revision(
      Fields.number("revision", 0, std::numeric_limits<std::int64_t>::max()));
  Item.m_Workspace.m_Limit = readLimit(Fields, std::nullopt);
  if (!Faults.empty() || !Keys)
    return std::nullopt;
  Item.m_Workspace.m_Keys = std::move(*Keys);
  return Item;
}

} // namespace ragwortmux
