#include "review/standins/Caller.h"
#include "review/standins/Deployment.h"

#include <vector>

using namespace review;

namespace {

/// Largest times that the pages give: replicas receive nothing for 6.5 s, a
/// server is cut off from control for 5 s, and a crashed primary stays down.
constexpr Milliseconds DeafTime(6500);
constexpr Milliseconds CutTime(5000);
/// From the start of the deafness to the crash; writes go on meanwhile.
constexpr Milliseconds CrashAfter(1500);
/// From the crash to the end of the case.
constexpr Milliseconds WatchTime(15000);

bool contains(const Server &Which, const std::string &Item) {
  return std::any_of(Which.m_Log.begin(), Which.m_Log.end(),
                     [&](const LogEntry &Each) { return Each.m_Item == Item; });
}

} // namespace

int main(int, char **Arguments) {
  const char *Trouble = std::getenv("TROUBLE");
  const bool IsTroubled = Trouble == nullptr || std::string(Trouble) != "0";
  Record Log(std::string(Arguments[1]) + "/record.txt");
  Deployment Site(Log);
  Site.m_SyncReplicas = 1;
  Service Portal("lepu270a", Log);
  Portal.m_SyncReplicas = 1;
  for (const char *Zone : {"nasr-city", "smart-village", "new-capital"}) {
    Portal.add(std::string("i-") + Zone, Zone, Site.serverAddress());
    Site.addNode("control", Zone);
    Site.addNode("entry", Zone);
  }
  Server &Primary = *Portal.find("i-nasr-city");
  Server &Receiver = *Portal.find("i-smart-village");
  Server &Deaf = *Portal.find("i-new-capital");
  if (!Site.start({&Portal}, {{"booking", "primary", Portal.m_Name}}))
    Site.exit(2);
  Caller Client(Log, Site.entry().m_Address, Deployment::FrontPort, "booking");
  if (!waitUntil(Milliseconds(10000),
                 [&] { return Client.query("WRITE first first").m_Succeeded; }))
    Site.exit(2);

  const auto Start = Clock::now();
  if (IsTroubled) {
    Log.add(Deaf.m_Id + " receives nothing from now on");
    Deaf.m_IsDeaf = true;
  }
  std::vector<std::string> Acknowledged;
  for (unsigned Number = 0; Clock::now() < Start + CrashAfter; ++Number) {
    const std::string Item = "item" + std::to_string(Number);
    if (Client.query("WRITE " + Item + " booked").m_Succeeded)
      Acknowledged.push_back(Item);
    pause(Milliseconds(50));
  }
  Log.add(std::to_string(Acknowledged.size()) + " writes were acknowledged");
  if (Acknowledged.empty())
    Site.exit(2);
  if (IsTroubled) {
    Log.add(Receiver.m_Id + " is cut off from control; " + Primary.m_Id +
            " crashes");
    Receiver.m_IsCut = true;
    Primary.crash();
  }
  const auto Crash = Clock::now();
  while (Clock::now() < Crash + WatchTime && Portal.m_Promoted == nullptr) {
    if (IsTroubled && Receiver.m_IsCut && Clock::now() > Crash + CutTime) {
      Log.add(Receiver.m_Id + " reaches control again");
      Receiver.m_IsCut = false;
    }
    if (IsTroubled && Deaf.m_IsDeaf && Clock::now() > Start + DeafTime) {
      Log.add(Deaf.m_Id + " can receive again");
      Deaf.m_IsDeaf = false;
    }
    pause(Milliseconds(10));
  }
  const std::lock_guard Lock(Portal.m_Mutex);
  const Server *Promoted = Portal.m_Promoted;
  std::size_t Lost = 0;
  for (const std::string &Item : Acknowledged) {
    if (Promoted != nullptr && !contains(*Promoted, Item))
      ++Lost;
  }
  Log.add(std::to_string(Lost) +
          " acknowledged writes are not in the log of the promoted server");
  Site.exit(Lost > 0 ? 1 : 0);
}
