#include "bench/Measure/ProcessUsage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>

namespace ragwortmux {

namespace {

constexpr int FieldsBeforeUserTime = 11; // Starting at the state.
constexpr std::uint64_t BytesPerKilobyte = 1024;

double readProcessorSeconds(const std::string &Folder) {
  std::ifstream File(Folder + "/stat");
  std::string Line;
  std::getline(File, Line);
  // The program name may contain blanks; it ends at the last parenthesis.
  const std::size_t End = Line.rfind(')');
  if (End == std::string::npos) {
    return 0;
  }
  std::istringstream Fields(Line.substr(End + 1));
  std::string Skipped;
  for (int Field = 0; Field < FieldsBeforeUserTime; ++Field) {
    Fields >> Skipped;
  }
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Number after \p Name in a file with one field per line; 0 if missing.
std::uint64_t readField(const std::string &Path, const std::string &Name) {
  std::ifstream File(Path);
  for (std::string Line; std::getline(File, Line);) {
    if (Line.starts_with(Name)) {
      return std::stoull(Line.substr(Name.size()));
    }
  }
  return 0;
}

} // namespace

ProcessUsage readProcessUsage(std::string Name, pid_t Id) {
  ProcessUsage Usage;
  Usage.m_Name = std::move(Name);
  if (Id == 0) {
    return Usage;
  }
  const std::string Folder = "/proc/" + std::to_string(Id);
  Usage.m_ProcessorSeconds = readProcessorSeconds(Folder);
  Usage.m_ResidentBytes =
      readField(Folder + "/status", "VmRSS:") * BytesPerKilobyte;
  Usage.m_PeakBytes =
      readField(Folder + "/status", "VmHWM:") * BytesPerKilobyte;
  Usage.m_IoBytes =
      readField(Folder + "/io", "rchar:") + readField(Folder + "/io", "wchar:");
  return Usage;
}

} // namespace ragwortmux
