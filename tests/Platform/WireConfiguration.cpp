#include "WireConfiguration.h"

#include <fmt/format.h>

namespace ragwortmux::platform {

std::string wireConfiguration(std::uint64_t Version,
                              const std::vector<std::string> &Services,
                              std::uint32_t Connections) {
  std::string RouteList;
  std::string ServiceList;
  for (const std::string &Name : Services) {
    const char *Comma = RouteList.empty() ? "" : ",";
    RouteList += fmt::format(
        R"({}{{"name":"r-{}","dbName":"{}","pathPrefix":"/",)"
        R"("kind":"read_your_writes","timeoutMs":1000,"service":"{}",)"
        R"("maxAttempts":2,"maxStalenessMs":2500}})",
        Comma, Name, Name, Name);
    ServiceList +=
        fmt::format(R"({}{{"name":"{}","maxConns":{},"syncReplicas":0}})",
                    Comma, Name, Connections);
  }
  return fmt::format(R"({{"version":{},"routes":[{}],"services":[{}]}})",
                     Version, RouteList, ServiceList);
}

} // namespace ragwortmux::platform
