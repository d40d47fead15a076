#include "ragwortmux/Process/Support/BackendAnnouncement.h"

#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Process/Support/JsonFields.h"
#include "ragwortmux/Process/Support/SocketAddress.h"

#include <limits>

namespace ragwortmux {

namespace {

constexpr std::uint64_t MaxSlots = 10000;
constexpr std::uint64_t MaxConnections = 100000;
/// Terms and positions fit a signed 64-bit number of PostgreSQL.
constexpr std::uint64_t MaxCounter = std::numeric_limits<std::int64_t>::max();

bool isRole(std::string_view Word) {
  return Word == "primary" || Word == "replica";
}

} // namespace

std::optional<BackendAnnouncement>
parseBackendAnnouncement(std::string_view Text,
                         std::vector<SettingFault> &Faults) {
  const std::size_t Before = Faults.size();
  const std::optional<boost::json::object> Object =
      parseJsonObject(Text, MaxJsonBytes, ResultCode::BadArgument, Faults);
  if (!Object)
    return std::nullopt;

  JsonFields Fields(*Object, ResultCode::BadArgument, Faults);
  BackendAnnouncement Result;
  Result.m_Group = GroupId(Fields.name("group"));
  Result.m_Server = ServerId(Fields.name("server"));
  Result.m_Domain = FailureDomainId(Fields.name("domain"));
  Result.m_Address =
      Fields.text("address", isIpAddress, "an IPv4 or IPv6 number");
  Result.m_Port = static_cast<std::uint16_t>(
      Fields.number("port", 1, std::numeric_limits<std::uint16_t>::max()));
  const std::string Role = Fields.text("role", isRole, "primary or replica");
  Result.m_Role =
      Role == "primary" ? AnnouncedRole::Primary : AnnouncedRole::Replica;
  Result.m_Term = Term(Fields.number("term", 0, MaxCounter));
  Result.m_Position = LogPosition(Fields.number("position", 0, MaxCounter));
  Result.m_Slots =
      static_cast<std::uint32_t>(Fields.number("slots", 1, MaxSlots));
  Result.m_Connections = static_cast<std::uint32_t>(
      Fields.number("connections", 1, MaxConnections));
  Result.m_Leaving = Fields.boolean("leaving", false);
  if (Faults.size() != Before)
    return std::nullopt;
  return Result;
}

} // namespace ragwortmux
