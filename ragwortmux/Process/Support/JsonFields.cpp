#include "ragwortmux/Process/Support/JsonFields.h"

#include "ragwortmux/Process/Support/ControlPeer.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace ragwortmux {

namespace {

/// The text of a value for a fault, truncated to fit a line.
std::string truncatedValue(const boost::json::value &Value) {
  constexpr std::size_t MaxShown = 80;
  std::string Text = boost::json::serialize(Value);
  if (Text.size() <= MaxShown)
    return Text;
  return Text.substr(0, MaxShown) + "...";
}

} // namespace

std::optional<boost::json::object>
parseJsonObject(std::string_view Text, std::size_t MaxBytes, ResultCode Code,
                std::vector<SettingFault> &Faults) {
  if (Text.size() > MaxBytes) {
    Faults.push_back({Code, "(text)", fmt::format("{} bytes", Text.size()),
                      fmt::format("at most {} bytes", MaxBytes)});
    return std::nullopt;
  }
  boost::json::error_code Error;
  boost::json::value Value = boost::json::parse(Text, Error);
  if (Error || !Value.is_object()) {
    Faults.push_back(
        {Code, "(text)",
         Error ? "(" + Error.message() + ")" : truncatedValue(Value),
         "one JSON object"});
    return std::nullopt;
  }
  return std::move(Value.get_object());
}

std::string toJsonText(std::string_view Text) {
  const auto IsAscii = [](char Character) {
    return static_cast<signed char>(Character) >= 0;
  };
  std::string Result(Text);
  if (std::ranges::all_of(Text, IsAscii))
    return Result;

  // The parser rejects text that is not UTF-8; the serializer does not.
  boost::json::error_code Error;
  boost::json::parse(boost::json::serialize(boost::json::string(Text)), Error);
  if (Error)
    std::ranges::replace_if(Result, std::not_fn(IsAscii), '?');
  return Result;
}

JsonFields::JsonFields(const boost::json::object &Object, ResultCode Code,
                       std::vector<SettingFault> &Faults)
    : m_Object(Object), m_Code(Code), m_Faults(Faults) {}

std::string JsonFields::text(std::string_view Name, const TextCheck &Check,
                             std::string Allowed) {
  const boost::json::value *Value = find(Name);
  if (Value != nullptr && Value->is_string()) {
    const boost::json::string &Text = Value->get_string();
    if (Check(std::string_view(Text.data(), Text.size())))
      return {Text.data(), Text.size()};
  }
  addFault(Name, Value, std::move(Allowed));
  return {};
}

std::string JsonFields::name(std::string_view Name) {
  return text(Name, isName, "1 to 63 characters of [a-z0-9_-]");
}

std::uint64_t JsonFields::number(std::string_view Name, std::uint64_t Min,
                                 std::uint64_t Max,
                                 std::optional<std::uint64_t> Fallback) {
  const boost::json::value *Value = find(Name);
  if (Value == nullptr && Fallback)
    return *Fallback;
  if (Value != nullptr) {
    boost::json::error_code Error;
    const auto Number = Value->to_number<std::uint64_t>(Error);
    if (!Error && !Value->is_double() && Number >= Min && Number <= Max)
      return Number;
  }
  addFault(Name, Value, fmt::format("{} to {}", Min, Max));
  return Min;
}

bool JsonFields::boolean(std::string_view Name, bool Fallback) {
  const boost::json::value *Value = find(Name);
  if (Value != nullptr && Value->is_bool())
    return Value->get_bool();
  if (Value != nullptr)
    addFault(Name, Value, "true or false");
  return Fallback;
}

void JsonFields::rejectUnknownFields() {
  for (const auto &Field : m_Object) {
    const std::string_view Name(Field.key().data(), Field.key().size());
    if (!m_ReadFields.contains(Name))
      addFault(Name, &Field.value(), "no field of this name");
  }
}

const boost::json::value *JsonFields::find(std::string_view Name) {
  m_ReadFields.emplace(Name);
  return m_Object.if_contains(Name);
}

void JsonFields::addFault(std::string_view Name,
                          const boost::json::value *Value,
                          std::string Allowed) {
  m_Faults.push_back({m_Code, std::string(Name),
                      Value == nullptr ? "(missing)" : truncatedValue(*Value),
                      std::move(Allowed)});
}

} // namespace ragwortmux
