#include "review/standins/Caller.h"
#include "review/standins/Deployment.h"

#include <set>

using namespace review;

int main(int, char **Arguments) {
  const char *Trouble = std::getenv("TROUBLE");
  const bool IsTroubled = Trouble == nullptr || std::string(Trouble) != "0";
  Record Log(std::string(Arguments[1]) + "/record.txt");
  Deployment Site(Log);
  Service Portal("lepu270a", Log);
  for (const char *Zone : {"nasr-city", "smart-village", "new-capital"}) {
    Portal.add(std::string("i-") + Zone, Zone, Site.serverAddress());
    Site.addNode("control", Zone);
  }
  Site.addNode("entry", "nasr-city");
  if (!Site.start({&Portal}, {{"booking", "primary", Portal.m_Name}}))
    Site.exit(2);
  Caller Client(Log, Site.entry().m_Address, Deployment::FrontPort, "booking");
  if (!waitUntil(Milliseconds(10000),
                 [&] { return Client.query("WRITE 1 first").m_Succeeded; }))
    Site.exit(2);
  const std::string Smuggled = Caller::nextId();
  const std::string Text = std::string("WRITE 7 two lines of") +
                           (IsTroubled ? "\n" : " ") + "QUERY " + Smuggled +
                           " WRITE 8 text";
  const std::string Own = Client.send(Text);
  Client.receive();
  Client.receive(Milliseconds(500));
  pause(Milliseconds(500));
  bool Broken = false;
  for (const Run &Each : Portal.runs()) {
    if (Each.m_Id == Smuggled) {
      Log.add("a server ran " + Smuggled + ", which no client sent");
      Broken = true;
    }
    if (Each.m_Id == Own && Each.m_Text != Text) {
      Log.add("a server ran " + Own + " with another text");
      Broken = true;
    }
  }
  Site.exit(Broken ? 1 : 0);
}
