#include "ragwortmux/Process/Support/SettingFile.h"

#include <fstream>
#include <iterator>

namespace ragwortmux {

SettingFile SettingFile::read(const std::string &Path,
                              std::vector<SettingFault> &Faults) {
  if (Path.empty())
    return SettingFile();
  std::ifstream Stream(Path);
  if (!Stream) {
    Faults.push_back(
        {ResultCode::BadSetting, "config", Path, "a file that can be read"});
    return SettingFile();
  }
  const std::string Text{std::istreambuf_iterator<char>(Stream),
                         std::istreambuf_iterator<char>()};
  return parse(Text, Faults);
}

SettingFile SettingFile::parse(std::string_view Text,
                               std::vector<SettingFault> &Faults) {
  SettingFile File;
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    if (Line.empty() || Line.front() == '#')
      continue;
    const std::size_t Equals = Line.find('=');
    if (Equals == std::string_view::npos) {
      Faults.push_back({ResultCode::BadSetting, "config", "(not shown)",
                        "lines of the form NAME=VALUE"});
      continue;
    }
    File.m_Values[std::string(Line.substr(0, Equals))] =
        std::string(Line.substr(Equals + 1));
  }
  return File;
}

std::optional<std::string> SettingFile::value(const std::string &Name) const {
  const auto Found = m_Values.find(Name);
  if (Found == m_Values.end())
    return std::nullopt;
  return Found->second;
}

} // namespace ragwortmux
