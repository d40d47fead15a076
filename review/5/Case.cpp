#include "review/standins/Caller.h"
#include "review/standins/Deployment.h"

using namespace review;

namespace {

/// How late one replica applies commits while it falls behind. Replicas are
/// 60 ms late, and 100 times as late for 6 s at the worst.
constexpr Milliseconds Lag(1500);
/// The route's kind allows reads of this age, but of the session's own writes.
constexpr unsigned MaxStalenessMs = 2500;

/// The server at which the statement \p Id has run; empty if it has not.
Run findRun(Service &At, const std::string &Id) {
  for (const Run &Each : At.runs()) {
    if (Each.m_Id == Id)
      return Each;
  }
  return {};
}

} // namespace

int main(int, char **Arguments) {
  const char *Trouble = std::getenv("TROUBLE");
  const bool IsTroubled = Trouble == nullptr || std::string(Trouble) != "0";
  Record Log(std::string(Arguments[1]) + "/record.txt");
  Deployment Site(Log);
  Service First("lepu270a", Log);
  Service Second("kafi81cb", Log);
  for (const char *Zone : {"smart-village", "nasr-city", "new-capital"}) {
    First.add(std::string("i-first-") + Zone, Zone, Site.serverAddress());
    Second.add(std::string("i-second-") + Zone, Zone, Site.serverAddress());
    Site.addNode("control", Zone);
  }
  Site.addNode("entry", "nasr-city");
  const auto Routes = [&](const Service &Tickets) {
    return std::vector<Route>{
        {"booking", "primary", First.m_Name},
        {"invoice", "primary", Second.m_Name},
        {"ticket", "read_your_writes", Tickets.m_Name, 1000, MaxStalenessMs}};
  };
  if (!Site.start({&First, &Second}, Routes(First)))
    Site.exit(2);
  const std::string Front = Site.entry().m_Address;
  // Other clients, whose statements show how far the primaries are.
  for (const char *Database : {"booking", "invoice"}) {
    std::thread([&Log, Front, Database] {
      Caller Other(Log, Front, Deployment::FrontPort, Database, true);
      for (;;) {
        Other.query("READ 1");
        pause(Milliseconds(60));
      }
    }).detach();
  }
  Caller Client(Log, Front, Deployment::FrontPort, "ticket");
  if (!waitUntil(Milliseconds(10000),
                 [&] { return Client.query("WRITE 1 first").m_Succeeded; }))
    Site.exit(2);
  Caller Warm(Log, Front, Deployment::FrontPort, "invoice");
  if (!waitUntil(Milliseconds(10000),
                 [&] { return Warm.query("WRITE 1 first").m_Succeeded; }))
    Site.exit(2);
  pause(Milliseconds(3000));

  Log.add("i-first-nasr-city falls behind");
  First.find("i-first-nasr-city")->m_Lag = Lag;
  if (!Client.query("WRITE 7 mine").m_Succeeded)
    Site.exit(2);
  const auto Written = Clock::now();
  if (IsTroubled) {
    // The route goes to the other service for a moment, where the session
    // writes too, and comes back.
    if (!Site.configure(Routes(Second)))
      Site.exit(2);
    const bool HasMoved = waitUntil(Milliseconds(1000), [&] {
      const std::string Id = Client.send("WRITE 9 also mine");
      return Client.receive().m_Succeeded && !findRun(Second, Id).m_Id.empty();
    });
    if (!HasMoved || !Site.configure(Routes(First)))
      Site.exit(2);
  } else if (!Client.query("WRITE 9 also mine").m_Succeeded) {
    Site.exit(2);
  }
  // Reads as soon as the route is back; while it is not, a read says nothing.
  while (Clock::now() < Written + Milliseconds(MaxStalenessMs)) {
    const std::string Id = Client.send("READ 7");
    const bool Succeeded = Client.receive().m_Succeeded;
    const Run Read = findRun(First, Id);
    if (!Succeeded || Read.m_Id.empty())
      continue;
    const bool IsStale = Read.m_Row != "mine";
    Log.add("the read at " + Read.m_Server +
            (IsStale ? " lacks the session's own acknowledged write"
                     : " contains the session's own acknowledged write"));
    if (IsStale)
      Site.exit(1);
    pause(Milliseconds(100));
  }
  Site.exit(0);
}
