#include "World.h"

/// \file
/// A backend answers a write and gives "-" as the position of its log. The
/// session then reads what it has written.

using namespace review;

int main(int Count, char **Arguments) {
  const std::string RecordPath = Count > 1 ? Arguments[1] : "record.txt";
  const std::string Temporary = Count > 2 ? Arguments[2] : "/tmp";
  limitTime(std::chrono::seconds(110));
  Record Log(RecordPath);
  Log.line(hasTrouble() ? "with the disruption" : "without the disruption");
  World All(Log, Layout(), Temporary);
  Service &Group = All.service();
  Group.add("i-first", All.coreAddress(40), "nasr-city");
  Group.add("i-second", All.coreAddress(41), "smart-village");
  Group.add("i-third", All.coreAddress(42), "new-capital");
  if (!All.start())
    return CouldNotRun;
  Group.m_HidesPositions = hasTrouble();
  if (hasTrouble())
    Log.line("from now, READY after a write says - instead of a position");

  // Other callers read and write, so that the positions of the primary's log
  // are known.
  std::atomic<bool> IsRunning = true;
  std::vector<std::thread> Others;
  Others.reserve(3);
  for (int Front = 0; Front < 3; ++Front) {
    Others.emplace_back([&, Front] {
      Client Desk(Log, "desk-" + std::to_string(Front));
      for (int Number = 0; IsRunning; ++Number) {
        if (!Desk.isOpen())
          Desk.open(All.frontAddress(Front), All.frontPort(), "booking");
        Desk.query(Number % 4 == 0 ? "WRITE desk x" : "READ desk", Ms(3000),
                   false);
        std::this_thread::sleep_for(Ms(50));
      }
    });
  }
  std::this_thread::sleep_for(Ms(3500));

  int Stale = 0;
  int Reads = 0;
  Client Technician(Log, "technician");
  for (int Number = 0; Number < 60; ++Number) {
    if (!Technician.isOpen() &&
        !Technician.open(All.frontAddress(1), All.frontPort(), "ticket"))
      continue;
    const std::string Data = "ticket" + std::to_string(Number);
    if (!Technician.query("WRITE mine " + Data).m_Ok)
      continue;
    const Answer Read = Technician.query("READ mine");
    if (!Read.m_Ok)
      continue;
    ++Reads;
    const std::string Got = Read.m_Rows.empty() ? "" : Read.m_Rows.front();
    if (Got != Data) {
      ++Stale;
      std::string Text = "BROKEN: the session reads ";
      Text.append(Got).append(" after its acknowledged ").append(Data);
      Log.line(Text);
    }
    std::this_thread::sleep_for(Ms(150));
  }
  IsRunning = false;
  for (std::thread &Each : Others)
    Each.join();
  Log.line(std::to_string(Stale) + " of " + std::to_string(Reads) +
           " reads lacked the write before them");
  if (Reads < 20)
    return CouldNotRun;
  return Stale > 0 ? Broken : Held;
}
