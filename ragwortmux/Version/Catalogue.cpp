#include "ragwortmux/Version/Catalogue.h"

#include "ragwortmux/Version/ControlCommand.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string_view>
#include <utility>

namespace ragwortmux {

namespace {

constexpr std::size_t MaxNameLength = 63;
constexpr std::size_t MaxTextLength = 128;

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9') || Character == '_' ||
         Character == '-';
}

bool isValidName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), isNameCharacter);
}

/// True if \p Text is not empty, not longer than \p MaxLength and free of
/// control characters.
bool isValidText(std::string_view Text, std::size_t MaxLength) {
  return !Text.empty() && Text.size() <= MaxLength &&
         std::none_of(Text.begin(), Text.end(), [](char Character) {
           const auto Code = static_cast<unsigned char>(Character);
           return Code < 0x20 || Code == 0x7f;
         });
}

template <typename Value> bool isWithin(Value Actual, Value Low, Value High) {
  return Low <= Actual && Actual <= High;
}

std::string validateLimits(const CatalogueEntry &Entry) {
  using namespace std::chrono_literals;
  const EntryLimits &Limits = Entry.m_Limits;
  if (!isWithin(Limits.m_MaxConcurrent, 1U, 1000U))
    return "max concurrent is not within 1 to 1000";
  if (Limits.m_MaxQueued > 10000U)
    return "max queued is above 10000";
  if (!isWithin<Duration>(Limits.m_RequestDeadline, 10ms, 10min))
    return "request deadline is not within 10 ms to 10 min";
  if (!isWithin(Limits.m_MaxAnswerBytes, 1U << 10U, 64U << 20U))
    return "max answer bytes is not within 1 KiB to 64 MiB";
  if (!isWithin<Duration>(Limits.m_MaxAge, 0ms, 24h))
    return "max age is not within 0 to 1 day";
  if (!allowsAge(Entry.m_Class) && Limits.m_MaxAge != 0ms)
    return "max age is set, but the class allows no age";
  return {};
}

/// Makes a change with the fields that both kinds of command have.
template <typename Command>
CatalogueChange makeChange(const Command &Requested, WallTime Now) {
  CatalogueChange Change;
  Change.m_Expected = Requested.m_Expected;
  Change.m_Change = Requested.m_Change;
  Change.m_Operator = Requested.m_Operator;
  Change.m_At = Now;
  return Change;
}

/// True if \p Resent requests the same change as \p Accepted.
bool isSameChange(const CatalogueChange &Accepted,
                  const CatalogueChange &Resent) {
  if (Accepted.m_Expected != Resent.m_Expected ||
      Accepted.m_Operator != Resent.m_Operator ||
      Accepted.m_Deleted != Resent.m_Deleted)
    return false;
  // A resent deletion carries only the entry's name.
  return Accepted.m_Deleted ? Accepted.m_Entry.m_Name == Resent.m_Entry.m_Name
                            : Accepted.m_Entry == Resent.m_Entry;
}

} // namespace

std::string Catalogue::validate(const CatalogueEntry &Entry) {
  if (!isValidName(Entry.m_Name.value()))
    return "the name is not 1 to 63 characters of [a-z0-9_-]";
  if (!isValidText(Entry.m_Group.value(), MaxNameLength))
    return "the group is not 1 to 63 printable characters";
  if (!isValidText(Entry.m_Owner.value(), MaxNameLength))
    return "the owner is not 1 to 63 printable characters";
  if (!isWithin(Entry.m_Class, TrafficClass::Booking,
                TrafficClass::OwnWritesSession))
    return "the class is unknown";
  return validateLimits(Entry);
}

ControlResult Catalogue::put(const PutEntry &Command, WallTime Now) {
  CatalogueChange Change = makeChange(Command, Now);
  Change.m_Entry = Command.m_Entry;
  if (const std::string Reason = validate(Command.m_Entry); !Reason.empty())
    return ControlResult::refused(ResultCode::CatalogueInvalid, Reason);
  if (auto Existing = checkChange(Change))
    return *Existing;
  const EntryName &Name = Command.m_Entry.m_Name;
  if (auto Refusal = checkRevision(Name, Command.m_Expected))
    return *Refusal;
  if (find(Name) == nullptr && m_Items.size() >= m_Settings.m_MaxEntries)
    return ControlResult::refused(ResultCode::CatalogueInvalid,
                                  "the catalogue is full");
  return record(std::move(Change));
}

ControlResult Catalogue::erase(const DeleteEntry &Command, WallTime Now) {
  CatalogueChange Change = makeChange(Command, Now);
  Change.m_Deleted = true;
  Change.m_Entry.m_Name = Command.m_Name;
  if (auto Existing = checkChange(Change))
    return *Existing;
  const CatalogueItem *Item = find(Command.m_Name);
  if (Item == nullptr)
    return ControlResult::refused(ResultCode::CatalogueNotFound,
                                  "there is no entry of this name");
  if (auto Refusal = checkRevision(Command.m_Name, Command.m_Expected))
    return *Refusal;
  Change.m_Entry = Item->m_Entry;
  return record(std::move(Change));
}

ControlResult Catalogue::put(const PutWorkspace &Command) {
  const Revision Next(m_Revision.value() + 1);
  return recordWorkspaceChange(m_Workspaces.put(Command, Next), Next);
}

ControlResult Catalogue::erase(const DeleteWorkspace &Command) {
  const Revision Next(m_Revision.value() + 1);
  return recordWorkspaceChange(m_Workspaces.erase(Command, Next), Next);
}

ControlResult Catalogue::recordWorkspaceChange(ControlResult Result,
                                               Revision Next) {
  // A resend returns the revision of the first change.
  if (Result.ok() && Result.m_Revision == Next)
    m_Revision = Next;
  return Result;
}

ControlResult Catalogue::replace(const ReplaceCatalogue &Command) {
  if (Command.m_Version <= m_Version)
    return ControlResult::accepted(m_Revision);
  if (Command.m_Entries.size() > m_Settings.m_MaxEntries)
    return ControlResult::refused(ResultCode::CatalogueInvalid,
                                  "the catalogue has too many entries");
  if (std::string Reason = m_Workspaces.checkReplacement(Command.m_Workspaces);
      !Reason.empty())
    return ControlResult::refused(ResultCode::CatalogueInvalid,
                                  std::move(Reason));
  m_Version = Command.m_Version;
  m_Document = Command.m_Document;
  m_Groups = Command.m_Groups;
  m_Revision = Revision(m_Revision.value() + 1);
  m_Workspaces.replace(Command.m_Workspaces, m_Revision);
  removeUnlisted(Command.m_Entries);
  for (const CatalogueEntry &Entry : Command.m_Entries) {
    const CatalogueItem *Existing = find(Entry.m_Name);
    if (Existing != nullptr && Existing->m_Entry == Entry)
      continue;
    m_Items[Entry.m_Name] = {m_Revision, Entry};
  }
  pruneDeletions();
  return ControlResult::accepted(m_Revision);
}

void Catalogue::removeUnlisted(const std::vector<CatalogueEntry> &Listed) {
  std::set<EntryName> Names;
  for (const CatalogueEntry &Entry : Listed)
    Names.insert(Entry.m_Name);
  std::erase_if(m_Items, [&](const auto &Existing) {
    const bool IsListed = Names.contains(Existing.first);
    if (!IsListed)
      m_Deletions.push_back({m_Revision, Existing.first});
    return !IsListed;
  });
}

const GroupPolicy *Catalogue::policy(const GroupId &Group) const {
  const auto Found = std::find_if(
      m_Groups.begin(), m_Groups.end(),
      [&](const GroupPolicy &Policy) { return Policy.m_Group == Group; });
  return Found == m_Groups.end() ? nullptr : &*Found;
}

std::optional<ControlResult>
Catalogue::checkChange(const CatalogueChange &Change) const {
  if (!isValidText(Change.m_Change.value(), MaxTextLength))
    return ControlResult::refused(
        ResultCode::CatalogueInvalid,
        "the change id is not 1 to 128 printable characters");
  if (!isValidText(Change.m_Operator, MaxTextLength))
    return ControlResult::refused(
        ResultCode::CatalogueInvalid,
        "the operator is not 1 to 128 printable characters");
  const auto Existing =
      std::find_if(m_RecentChanges.begin(), m_RecentChanges.end(),
                   [&](const CatalogueChange &Recent) {
                     return Recent.m_Change == Change.m_Change;
                   });
  if (Existing == m_RecentChanges.end())
    return std::nullopt;
  if (!isSameChange(*Existing, Change))
    return ControlResult::refused(ResultCode::BadArgument,
                                  "the change id was used for another change");
  return ControlResult::accepted(Existing->m_Revision);
}

std::optional<ControlResult> Catalogue::checkRevision(const EntryName &Name,
                                                      Revision Expected) const {
  const CatalogueItem *Item = find(Name);
  if (Item == nullptr && Expected == Revision())
    return std::nullopt;
  if (Item == nullptr)
    return ControlResult::refused(ResultCode::CatalogueNotFound,
                                  "the entry no longer exists");
  if (Item->m_Revision == Expected)
    return std::nullopt;
  ControlResult Conflict = ControlResult::refused(
      ResultCode::CatalogueConflict, "the entry has another revision");
  Conflict.m_Revision = Item->m_Revision;
  Conflict.m_CurrentItem = *Item;
  return Conflict;
}

ControlResult Catalogue::record(CatalogueChange Change) {
  m_Revision = Revision(m_Revision.value() + 1);
  Change.m_Revision = m_Revision;
  const EntryName Name = Change.m_Entry.m_Name;
  if (Change.m_Deleted) {
    m_Items.erase(Name);
    m_Deletions.push_back({m_Revision, Name});
  } else {
    m_Items[Name] = {m_Revision, Change.m_Entry};
  }
  m_History[Name].push_back(Change);
  m_RecentChanges.push_back(std::move(Change));
  pruneHistory(Name);
  return ControlResult::accepted(m_Revision);
}

void Catalogue::pruneHistory(const EntryName &Name) {
  auto &Changes = m_History[Name];
  while (Changes.size() > m_Settings.m_MaxChangesPerEntry)
    Changes.pop_front();
  while (m_RecentChanges.size() > m_Settings.m_MaxRecentChanges)
    m_RecentChanges.pop_front();
  pruneDeletions();
}

void Catalogue::pruneDeletions() {
  while (m_Deletions.size() > m_Settings.m_MaxDeletions) {
    const CatalogueDeletion &Oldest = m_Deletions.front();
    m_LastPrunedDeletion = Oldest.m_Revision;
    // Remove the history of a deleted name together with its last deletion.
    const auto History = m_History.find(Oldest.m_Name);
    if (History != m_History.end() &&
        History->second.back().m_Revision == Oldest.m_Revision)
      m_History.erase(History);
    m_Deletions.pop_front();
  }
}

CatalogueData Catalogue::exportData() const {
  CatalogueData Data;
  Data.m_Revision = m_Revision;
  Data.m_LastPrunedDeletion = m_LastPrunedDeletion;
  for (const auto &[Name, Item] : m_Items)
    Data.m_Items.push_back(Item);
  Data.m_Deletions.assign(m_Deletions.begin(), m_Deletions.end());
  for (const auto &[Name, Changes] : m_History)
    Data.m_History.insert(Data.m_History.end(), Changes.begin(), Changes.end());
  Data.m_RecentChanges.assign(m_RecentChanges.begin(), m_RecentChanges.end());
  Data.m_Version = m_Version;
  Data.m_Document = m_Document;
  Data.m_Groups = m_Groups;
  Data.m_Workspaces = m_Workspaces.exportData();
  return Data;
}

void Catalogue::importData(const CatalogueData &Data) {
  m_Revision = Data.m_Revision;
  m_LastPrunedDeletion = Data.m_LastPrunedDeletion;
  m_Items.clear();
  for (const CatalogueItem &Item : Data.m_Items)
    m_Items[Item.m_Entry.m_Name] = Item;
  m_Deletions.assign(Data.m_Deletions.begin(), Data.m_Deletions.end());
  m_History.clear();
  for (const CatalogueChange &Change : Data.m_History)
    m_History[Change.m_Entry.m_Name].push_back(Change);
  m_RecentChanges.assign(Data.m_RecentChanges.begin(),
                         Data.m_RecentChanges.end());
  m_Version = Data.m_Version;
  m_Document = Data.m_Document;
  m_Groups = Data.m_Groups;
  m_Workspaces.importData(Data.m_Workspaces);
}

const CatalogueItem *Catalogue::find(const EntryName &Name) const {
  const auto Found = m_Items.find(Name);
  return Found == m_Items.end() ? nullptr : &Found->second;
}

void Catalogue::forEachEntry(
    const std::function<void(const CatalogueItem &)> &Visit) const {
  for (const auto &[Name, Item] : m_Items)
    Visit(Item);
}

void Catalogue::forEachChange(
    const EntryName &Name,
    const std::function<void(const CatalogueChange &)> &Visit) const {
  const auto Found = m_History.find(Name);
  if (Found == m_History.end())
    return;
  for (const CatalogueChange &Change : Found->second)
    Visit(Change);
}

CatalogueDelta Catalogue::deltaSince(Revision From) const {
  CatalogueDelta Delta;
  Delta.m_Revision = m_Revision;
  Delta.m_IsWhole = From == Revision() || From < m_LastPrunedDeletion ||
                    From > m_Revision || !m_Workspaces.hasDeletionsSince(From);
  Delta.m_From = Delta.m_IsWhole ? Revision() : From;
  for (const auto &[Name, Item] : m_Items) {
    if (Item.m_Revision > Delta.m_From)
      Delta.m_Items.push_back(Item);
  }
  m_Workspaces.addTo(Delta);
  if (Delta.m_IsWhole)
    return Delta;
  for (const CatalogueDeletion &Deletion : m_Deletions) {
    if (Deletion.m_Revision > From && find(Deletion.m_Name) == nullptr)
      Delta.m_Deletions.push_back(Deletion);
  }
  return Delta;
}

} // namespace ragwortmux
