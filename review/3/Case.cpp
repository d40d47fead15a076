#include "review/standins/Caller.h"
#include "review/standins/Deployment.h"

#include <thread>
#include <vector>

using namespace review;

namespace {

/// How long the machines are down in the final fault.
constexpr Milliseconds DownTime(800);
/// After this time, requests have to be served again (recoveryS).
constexpr Milliseconds RecoveryTime(12000);
/// Traffic before the final fault and after the recovery.
constexpr Milliseconds TrafficTime(8000);
/// Clients that begin a transaction while the primary has no free slot, at
/// each entry machine, and how long they wait before they leave.
constexpr unsigned HastyClients = 12;
constexpr Milliseconds Patience(100);
constexpr std::size_t Entries = 3;

struct Count final {
  std::atomic<std::size_t> m_Asked = 0;  ///< Requests sent.
  std::atomic<std::size_t> m_Served = 0; ///< Those that succeeded.
};

/// One session after the other: a write on the primary, then a read.
void sendRequests(Record &Log, const std::string &Front, Count &Counted) {
  const auto End = Clock::now() + TrafficTime;
  while (Clock::now() < End) {
    for (const auto &[Database, Text] : {std::pair("booking", "WRITE 3 booked"),
                                         std::pair("dash", "READ 3")}) {
      Caller Client(Log, Front, Deployment::FrontPort, Database);
      ++Counted.m_Asked;
      if (Client.query(Text).m_Succeeded)
        ++Counted.m_Served;
    }
    pause(Milliseconds(100));
  }
}

/// Requests at all entry machines.
void runTraffic(Record &Log, Deployment &Site, Count &Counted) {
  std::vector<std::thread> Threads;
  for (std::size_t Number = 0; Number < Entries; ++Number)
    Threads.emplace_back([&, Front = Site.entry(Number).m_Address] {
      sendRequests(Log, Front, Counted);
    });
  for (std::thread &Each : Threads)
    Each.join();
  Log.add(std::to_string(Counted.m_Served) + " of " +
          std::to_string(Counted.m_Asked) + " requests were served");
}

} // namespace

int main(int, char **Arguments) {
  const char *Trouble = std::getenv("TROUBLE");
  const bool IsTroubled = Trouble == nullptr || std::string(Trouble) != "0";
  Record Log(std::string(Arguments[1]) + "/record.txt");
  Deployment Site(Log);
  Service Portal("lepu270a", Log);
  for (const char *Zone : {"nasr-city", "smart-village", "new-capital"}) {
    Portal.add(std::string("i-") + Zone, Zone, Site.serverAddress());
    Site.addNode("control", Zone);
    Site.addNode("entry", Zone);
  }
  Server &Primary = *Portal.m_Servers.front();
  if (!Site.start({&Portal},
                  {{"booking", "primary", Portal.m_Name},
                   {"dash", "bounded_staleness", Portal.m_Name, 1000, 1500}}))
    Site.exit(2);
  for (std::size_t Number = 0; Number < Entries; ++Number) {
    Caller Client(Log, Site.entry(Number).m_Address, Deployment::FrontPort,
                  "booking");
    if (!waitUntil(Milliseconds(10000),
                   [&] { return Client.query("WRITE 1 first").m_Succeeded; }))
      Site.exit(2);
  }
  Count Before;
  runTraffic(Log, Site, Before);

  Log.add("final fault: all processes are killed");
  Site.killAll();
  pause(DownTime);
  Site.restartAll();
  const auto Back = Clock::now();
  Log.add("the machines are back");
  if (!waitUntil(Milliseconds(8000), [&] { return Site.areEntriesReady(); }))
    Site.exit(2);
  pause(Milliseconds(1000));
  for (unsigned Client = 0; Client < HastyClients; ++Client) {
    for (std::size_t Number = 0; Number < Entries; ++Number) {
      std::thread([&, Front = Site.entry(Number).m_Address] {
        Caller Hasty(Log, Front, Deployment::FrontPort, "booking");
        if (!Hasty.query("BEGIN").m_Succeeded)
          return;
        Primary.m_IsBusy = true;
        Hasty.send("WRITE 2 booked");
        if (IsTroubled)
          pause(Patience);
        else if (Hasty.receive().m_Succeeded)
          Hasty.query("COMMIT");
        Hasty.leave();
      }).detach();
    }
    pause(Milliseconds(300));
    Primary.m_IsBusy = false;
    pause(Milliseconds(100));
  }
  while (Clock::now() < Back + RecoveryTime)
    pause(Milliseconds(20));

  Log.add("12 s after the machines are back");
  Count After;
  runTraffic(Log, Site, After);
  for (std::size_t Number = 0; Number < Entries; ++Number)
    Log.add(Site.entry(Number).m_Name + " answers GET /ready with " +
            std::to_string(callHttp(Site.entry(Number).m_Address,
                                    Deployment::ReadyPort, "GET /ready", "")));
  const bool WasServed = Before.m_Served * 4 >= Before.m_Asked;
  const bool IsServed = After.m_Served * 4 >= After.m_Asked;
  if (!WasServed || !Site.areAllRunning())
    Site.exit(2);
  Site.exit(IsServed ? 0 : 1);
}
