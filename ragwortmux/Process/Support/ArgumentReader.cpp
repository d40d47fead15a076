#include "ragwortmux/Process/Support/ArgumentReader.h"

#include "ragwortmux/Process/Support/Numbers.h"

#include <fmt/format.h>

#include <utility>

namespace ragwortmux {

ArgumentReader::ArgumentReader(std::span<const FlagInfo> Known,
                               std::span<const std::string> Arguments,
                               std::vector<SettingFault> &Faults)
    : m_Flags(parseFlags(Known, Arguments, ResultCode::BadArgument, Faults)),
      m_Faults(Faults) {}

std::string ArgumentReader::text(const std::string &Name,
                                 const TextCheck &Check,
                                 const std::string &Allowed) {
  std::optional<std::string> Text = m_Flags.value(Name);
  if (!Text)
    return {};
  if (Check(*Text))
    return std::move(*Text);
  addFault("--" + Name, *Text, Allowed);
  return {};
}

std::string ArgumentReader::requiredText(const std::string &Name,
                                         const TextCheck &Check,
                                         const std::string &Allowed) {
  if (!m_Flags.value(Name))
    addFault("--" + Name, "(missing)", Allowed);
  return text(Name, Check, Allowed);
}

std::optional<std::uint64_t> ArgumentReader::number(const std::string &Name,
                                                    std::uint64_t Min,
                                                    std::uint64_t Max) {
  const std::optional<std::string> Text = m_Flags.value(Name);
  if (!Text)
    return std::nullopt;
  const std::optional<std::uint64_t> Number = parseNumber(*Text, Min, Max);
  if (!Number)
    addFault("--" + Name, *Text, fmt::format("{} to {}", Min, Max));
  return Number;
}

bool ArgumentReader::isSet(const std::string &Name) {
  return text(
             Name,
             [](std::string_view Text) {
               return Text == "true" || Text == "false";
             },
             "true or false") == "true";
}

SocketAddress ArgumentReader::address(const std::string &Default) {
  const std::string Text = m_Flags.value("at").value_or(Default);
  std::optional<SocketAddress> Endpoint = parseSocketAddress(Text);
  if (Endpoint)
    return std::move(*Endpoint);
  addFault("--at", Text, "ADDR:PORT with an IP number");
  return {};
}

std::vector<std::string>
ArgumentReader::positional(std::span<const char *const> Names) {
  std::vector<std::string> Given = m_Flags.m_Positional;
  for (std::size_t Index = Given.size(); Index < Names.size(); ++Index)
    addFault(Names[Index], "(missing)", "one argument");
  // A further argument may be the value of a mistyped flag, so it is not shown.
  if (Given.size() > Names.size())
    addFault("argument", "(not shown)", "no further argument");
  Given.resize(Names.size());
  return Given;
}

std::vector<std::string>
ArgumentReader::positionalList(const std::string &Name) {
  if (m_Flags.m_Positional.empty())
    addFault(Name, "(missing)", "one argument or more");
  return m_Flags.m_Positional;
}

void ArgumentReader::addFault(std::string Name, std::string Value,
                              std::string Allowed) {
  m_Faults.push_back({ResultCode::BadArgument, std::move(Name),
                      std::move(Value), std::move(Allowed)});
}

} // namespace ragwortmux
