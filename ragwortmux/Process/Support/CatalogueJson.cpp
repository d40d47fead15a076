#include "ragwortmux/Process/Support/CatalogueJson.h"

#include "ragwortmux/Process/Support/JsonFields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;

/// A traffic class and its name.
struct TrafficClassName final {
  TrafficClass m_Class;    ///< The class.
  std::string_view m_Word; ///< The name.
};

constexpr std::array<TrafficClassName, 7> TrafficClassNames = {
    {{TrafficClass::Booking, "booking"},
     {TrafficClass::Write, "write"},
     {TrafficClass::SessionRead, "session-read"},
     {TrafficClass::AgedRead, "aged-read"},
     {TrafficClass::PrimarySession, "primary-session"},
     {TrafficClass::AgedSession, "aged-session"},
     {TrafficClass::OwnWritesSession, "own-writes-session"}}};

std::uint64_t countMilliseconds(Duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

EntryLimits readLimits(JsonFields &Fields) {
  using Bounds = EntryBounds;
  const EntryLimits Default;
  EntryLimits Limits;
  Limits.m_MaxConcurrent = static_cast<std::uint32_t>(
      Fields.number("max_concurrent", Bounds::MinConcurrent,
                    Bounds::MaxConcurrent, Default.m_MaxConcurrent));
  Limits.m_MaxQueued = static_cast<std::uint32_t>(
      Fields.number("max_queued", 0, Bounds::MaxQueued, Default.m_MaxQueued));
  Limits.m_RequestDeadline = milliseconds(
      Fields.number("deadline_ms", Bounds::MinDeadlineMs, Bounds::MaxDeadlineMs,
                    countMilliseconds(Default.m_RequestDeadline)));
  Limits.m_MaxAnswerBytes = static_cast<std::uint32_t>(
      Fields.number("max_answer_bytes", Bounds::MinAnswerBytes,
                    Bounds::MaxAnswerBytes, Default.m_MaxAnswerBytes));
  Limits.m_MaxAge = milliseconds(Fields.number(
      "max_age_ms", 0, Bounds::MaxAgeMs, countMilliseconds(Default.m_MaxAge)));
  return Limits;
}

} // namespace

bool isOwnerName(std::string_view Text) {
  constexpr std::size_t MaxOwnerLength = 63;
  return !Text.empty() && Text.size() <= MaxOwnerLength &&
         std::ranges::none_of(Text, [](char Character) {
           return static_cast<unsigned char>(Character) < ' ' ||
                  Character == '\x7f';
         });
}

std::string_view trafficClassName(TrafficClass Class) {
  return std::ranges::find(TrafficClassNames, Class, &TrafficClassName::m_Class)
      ->m_Word;
}

std::optional<TrafficClass> parseTrafficClass(std::string_view Word) {
  const auto *Found =
      std::ranges::find(TrafficClassNames, Word, &TrafficClassName::m_Word);
  if (Found == TrafficClassNames.end())
    return std::nullopt;
  return Found->m_Class;
}

std::string allowedTrafficClasses() {
  std::string Words;
  for (const TrafficClassName &Row : TrafficClassNames) {
    if (!Words.empty())
      Words += ", ";
    Words += Row.m_Word;
  }
  return Words;
}

std::string formatCatalogueEntry(const CatalogueEntry &Entry) {
  boost::json::object Object;
  Object["name"] = Entry.m_Name.value();
  Object["group"] = Entry.m_Group.value();
  Object["owner"] = Entry.m_Owner.value();
  Object["class"] = trafficClassName(Entry.m_Class);
  Object["max_concurrent"] = Entry.m_Limits.m_MaxConcurrent;
  Object["max_queued"] = Entry.m_Limits.m_MaxQueued;
  Object["deadline_ms"] = countMilliseconds(Entry.m_Limits.m_RequestDeadline);
  Object["max_answer_bytes"] = Entry.m_Limits.m_MaxAnswerBytes;
  Object["max_age_ms"] = countMilliseconds(Entry.m_Limits.m_MaxAge);
  Object["requires_key"] = Entry.m_RequiresKey;
  return boost::json::serialize(Object);
}

std::optional<CatalogueEntry>
parseCatalogueEntry(std::string_view Text, std::vector<SettingFault> &Faults) {
  const std::size_t Before = Faults.size();
  const std::optional<boost::json::object> Object =
      parseJsonObject(Text, MaxJsonBytes, ResultCode::CatalogueInvalid, Faults);
  if (!Object)
    return std::nullopt;

  JsonFields Fields(*Object, ResultCode::CatalogueInvalid, Faults);
  CatalogueEntry Entry;
  Entry.m_Name = EntryName(Fields.name("name"));
  Entry.m_Group = GroupId(Fields.name("group"));
  Entry.m_Owner = OwnerId(Fields.text("owner", isOwnerName, AllowedOwnerName));
  const std::optional<TrafficClass> Class = parseTrafficClass(Fields.text(
      "class",
      [](std::string_view Word) { return parseTrafficClass(Word).has_value(); },
      allowedTrafficClasses()));
  Entry.m_Limits = readLimits(Fields);
  Entry.m_RequiresKey = Fields.boolean("requires_key", false);
  Fields.rejectUnknownFields();

  // A maximum age has no meaning for the classes whose reads must see the last
  // write.
  if (Class && !allowsAge(*Class) && Entry.m_Limits.m_MaxAge > Duration(0))
    Faults.push_back(
        {ResultCode::CatalogueInvalid, "max_age_ms",
         std::to_string(countMilliseconds(Entry.m_Limits.m_MaxAge)),
         "0 unless the class allows an age"});
  if (!Class || Faults.size() != Before)
    return std::nullopt;
  Entry.m_Class = *Class;
  return Entry;
}

} // namespace ragwortmux
