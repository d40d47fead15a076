#include "World.h"

#include <csignal>
#include <random>

/// \file
/// Clients make entry processes use more than the memory of their machines.
/// The platform ends such a process and starts it again after a short delay.
///
/// The first argument says what the clients do:
/// - prepared: each session prepares a statement, runs it, deallocates it, and
///   does so again with another shape. It awaits each answer.
/// - unread: sessions read items with large rows and then stop reading.
/// - ids: sessions read with long statement ids.

using namespace review;

namespace {

constexpr int AttackedFronts = 2;
constexpr int EndsThatCount = 3;

std::string randomText(std::size_t Size) {
  static thread_local std::mt19937_64 Random(std::random_device{}());
  std::string Text(Size, 'x');
  for (std::size_t At = 0; At < std::min<std::size_t>(Size, 24); ++At)
    Text[At] = static_cast<char>('a' + Random() % 26);
  return Text;
}

/// One session that prepares, runs and deallocates.
void prepareLoop(World &All, Record &Log, int Front, int Number,
                 const std::atomic<bool> &IsRunning) {
  constexpr std::size_t ShapeBytes = std::size_t{256} << 10U;
  Client Session(Log,
                 "app-" + std::to_string(Front) + "-" + std::to_string(Number));
  const std::string Fixed = randomText(ShapeBytes);
  const std::string Database = All.m_Routes.at(Number % 3).m_Database;
  for (int Round = 0; IsRunning; ++Round) {
    if (!Session.isOpen() &&
        !Session.open(All.frontAddress(Front), All.frontPort(), Database)) {
      std::this_thread::sleep_for(Ms(200));
      continue;
    }
    const std::string Shape = hasTrouble() ? randomText(ShapeBytes) : Fixed;
    const bool IsLogged = Round % 50 == 0;
    if (Session.query("PREPARE s1 READ " + Shape, Ms(4000), IsLogged).m_Ok)
      Session.query("EXECUTE s1 item" + std::to_string(Round % 7), Ms(4000),
                    IsLogged);
    Session.query("DEALLOC s1", Ms(4000), IsLogged);
  }
}

/// One session that asks for large rows; with the disruption it does not read
/// them.
void readLoop(World &All, Record &Log, int Front, int Number,
              const std::atomic<bool> &IsRunning) {
  const std::string Name =
      "report-" + std::to_string(Front) + "-" + std::to_string(Number);
  // They don't begin all at once.
  std::this_thread::sleep_for(Ms(30 * Number));
  while (IsRunning) {
    Client Session(Log, Name);
    if (!Session.open(All.frontAddress(Front), All.frontPort(), "dash")) {
      std::this_thread::sleep_for(Ms(200));
      continue;
    }
    if (!hasTrouble()) {
      Session.query("READ large", Ms(8000), false);
      std::this_thread::sleep_for(Ms(2000));
      continue;
    }
    Session.connection()->write("QUERY " + Name + " READ large\r\n");
    // Waits for the end of the connection and reads nothing.
    for (int Step = 0; Step < 300 && IsRunning; ++Step) {
      std::this_thread::sleep_for(Ms(100));
      if (!Session.connection()->write(""))
        break;
      if (Step % 10 == 9 && !All.isReady(Front))
        break;
    }
  }
}

/// One session with long ids.
void idLoop(World &All, Record &Log, int Front, int Number,
            const std::atomic<bool> &IsRunning) {
  constexpr std::size_t IdBytes = 1'000'000;
  const std::string Name =
      "long-" + std::to_string(Front) + "-" + std::to_string(Number);
  while (IsRunning) {
    Client Session(Log, Name);
    if (!Session.open(All.frontAddress(Front), All.frontPort(), "dash")) {
      std::this_thread::sleep_for(Ms(200));
      continue;
    }
    const std::string Id = hasTrouble() ? randomText(IdBytes) : randomText(16);
    Session.connection()->write("QUERY " + Id + " READ item\r\n");
    bool IsReady = false;
    while (!IsReady) {
      const auto Line = Session.connection()->readLine(Ms(5000));
      if (!Line)
        break;
      IsReady = Line->starts_with("READY");
    }
  }
}

} // namespace

int main(int Count, char **Arguments) {
  const std::string Kind = Count > 1 ? Arguments[1] : "prepared";
  const std::string RecordPath = Count > 2 ? Arguments[2] : "record.txt";
  const std::string Temporary = Count > 3 ? Arguments[3] : "/tmp";
  limitTime(std::chrono::seconds(115));
  Record Log(RecordPath);
  Log.line(hasTrouble() ? "with the disruption" : "without the disruption");
  Layout Sizes;
  World All(Log, Sizes, Temporary);
  Service &Group = All.service();
  Group.add("i-first", All.coreAddress(40), "nasr-city");
  Group.add("i-second", All.coreAddress(41), "smart-village");
  Group.add("i-third", All.coreAddress(42), "new-capital");
  if (Kind == "unread") {
    Group.m_Slots = 2;
    const std::string Row = "ROW " + std::string(1'000'000, 'r') + "\r\n";
    std::string Rows;
    for (int Number = 0; Number < 6; ++Number)
      Rows += Row;
    Group.m_Rows = [Rows](const std::string &Item) {
      return Item == "large" ? std::optional(Rows) : std::nullopt;
    };
  }
  if (!All.start())
    return CouldNotRun;

  std::atomic<bool> IsRunning = true;
  std::vector<std::thread> Sessions;
  const int PerFront = Kind == "prepared" ? 9 : Kind == "unread" ? 100 : 150;
  for (int Front = 0; Front < AttackedFronts; ++Front) {
    for (int Number = 0; Number < PerFront; ++Number)
      Sessions.emplace_back([&, Front, Number] {
        if (Kind == "prepared")
          prepareLoop(All, Log, Front, Number, IsRunning);
        else if (Kind == "unread")
          readLoop(All, Log, Front, Number, IsRunning);
        else
          idLoop(All, Log, Front, Number, IsRunning);
      });
  }

  // The platform: a process above the memory of its machine is ended, and
  // started again after a short delay.
  std::vector<int> Ends(Sizes.m_Fronts, 0);
  std::vector<double> Peaks(Sizes.m_Fronts, 0);
  const auto Until = Clock::now() + std::chrono::seconds(80);
  const auto NextNote = [](auto &At) { At += std::chrono::seconds(5); };
  auto NoteAt = Clock::now();
  while (Clock::now() < Until) {
    for (int Front = 0; Front < Sizes.m_Fronts; ++Front) {
      Process &Entry = All.front(Front);
      const bool HasEnded = !Entry.isRunning();
      const double Resident = HasEnded ? 0 : Entry.residentMb();
      Peaks[Front] = std::max(Peaks[Front], Resident);
      if (!HasEnded && Resident <= Sizes.m_MemoryMb)
        continue;
      ++Ends[Front];
      Log.line("front " + std::to_string(Front) +
               (HasEnded ? " has ended by itself"
                         : " uses " + std::to_string(Resident) + " MB of " +
                               std::to_string(Sizes.m_MemoryMb) +
                               " MB and is killed") +
               ": end number " + std::to_string(Ends[Front]));
      Entry.kill();
      std::this_thread::sleep_for(Ms(300));
      All.startFront(Front);
    }
    if (Clock::now() >= NoteAt) {
      NextNote(NoteAt);
      std::string Text = "resident:";
      for (int Front = 0; Front < Sizes.m_Fronts; ++Front)
        Text += " " + std::to_string(All.front(Front).residentMb()) + " MB";
      Log.line(Text);
    }
    int Counted = 0;
    for (const int Each : Ends)
      Counted += Each >= EndsThatCount ? 1 : 0;
    if (Counted >= AttackedFronts)
      break;
    std::this_thread::sleep_for(Ms(20));
  }
  IsRunning = false;
  for (std::thread &Each : Sessions)
    Each.join();
  int Counted = 0;
  for (int Front = 0; Front < Sizes.m_Fronts; ++Front) {
    Log.line("front " + std::to_string(Front) + ": " +
             std::to_string(Ends[Front]) + " ends, highest memory seen " +
             std::to_string(Peaks[Front]) + " MB");
    Counted += Ends[Front] >= EndsThatCount ? 1 : 0;
  }
  Log.line(std::to_string(Counted) +
           " of 6 machines had processes that ended " +
           std::to_string(EndsThatCount) + " times");
  return Counted >= 2 ? Broken : Held;
}
