#include "ragwortmux/Process/Support/CommandLine.h"

#include "ragwortmux/Process/Support/ArgumentReader.h"
#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Process/Support/ControlPeer.h"
#include "ragwortmux/Process/Support/KeyText.h"
#include "ragwortmux/Process/Support/SettingTable.h"
#include "ragwortmux/Process/Support/UuidV7.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;

constexpr const char *DefaultHttpAddress = "127.0.0.1:8080";
constexpr const char *DefaultCallerAddress = "127.0.0.1:6432";
constexpr const char *AllowedName = "1 to 63 characters of [a-z0-9_-]";
/// The catalogue refuses lower numbers too, with its reason.
constexpr std::uint64_t MaxOperations =
    std::numeric_limits<std::uint32_t>::max();
constexpr const char *AllowedWorkspaceName =
    "1 to 63 printable characters without blanks";
constexpr const char *AllowedText = "1 to 128 printable characters";
constexpr std::uint64_t MaxRevision = std::numeric_limits<std::int64_t>::max();

constexpr FlagInfo HttpAddressFlag = {
    "at",
    "HTTP port of any entry host as ADDR:PORT; 127.0.0.1:8080 if absent."};
constexpr FlagInfo ExpectRevisionFlag = {
    "expect_revision",
    "The entry's revision that the change is based on; 0 for a new entry."};
constexpr FlagInfo ChangeIdFlag = {
    "change_id", "Makes a resend of the change idempotent; new if absent."};
constexpr FlagInfo OperatorFlag = {"operator",
                                   "Who makes the change, for the history."};

constexpr std::array<FlagInfo, 1> AddressFlags = {HttpAddressFlag};
constexpr std::array<FlagInfo, 4> DeleteFlags = {
    HttpAddressFlag, ExpectRevisionFlag, ChangeIdFlag, OperatorFlag};
constexpr std::array<FlagInfo, 14> PutFlags = {
    {HttpAddressFlag,
     {"name", "Name of the entry, which callers use as their database."},
     {"group", "The database group that answers."},
     {"owner", "Whose requests these are."},
     {"class",
      "booking, write, session-read, aged-read, primary-session, aged-session "
      "or own-writes-session."},
     {"max_concurrent", "Requests running at once per entry host."},
     {"max_queued", "Requests waiting per entry host."},
     {"deadline_ms", "Time from a request's arrival to its answer in ms."},
     {"max_answer_bytes", "Size of the whole answer in bytes."},
     {"max_age_ms", "How old the data may be in ms; aged-read only."},
     {"requires_key", "Callers must present the key of a workspace.", true},
     ExpectRevisionFlag,
     ChangeIdFlag,
     OperatorFlag}};
constexpr FlagInfo WorkspaceRevisionFlag = {
    "expect_revision", "The workspace's revision that the change is based on; "
                       "0 for a new workspace."};
constexpr FlagInfo KeyFromFlag = {
    "key_from", "Where the key is read from: stdin (one key on a line) or "
                "env:VARIABLE."};
constexpr FlagInfo RateFlag = {
    "rate_per_s", "Operations a second over all hosts; 0: no limit."};
constexpr FlagInfo BurstFlag = {"burst", "Operations beyond the rate at once."};
constexpr std::array<FlagInfo, 2> WorkspaceListFlags = {
    {HttpAddressFlag, {"after", "Only workspaces after this name."}}};
constexpr std::array<FlagInfo, 7> WorkspacePutFlags = {
    HttpAddressFlag,       RateFlag,     BurstFlag,   KeyFromFlag,
    WorkspaceRevisionFlag, ChangeIdFlag, OperatorFlag};
constexpr std::array<FlagInfo, 4> WorkspaceDeleteFlags = {
    HttpAddressFlag, WorkspaceRevisionFlag, ChangeIdFlag, OperatorFlag};
constexpr std::array<FlagInfo, 5> AddKeyFlags = {HttpAddressFlag, KeyFromFlag,
                                                 WorkspaceRevisionFlag,
                                                 ChangeIdFlag, OperatorFlag};
constexpr std::array<FlagInfo, 6> RemoveKeyFlags = {
    {HttpAddressFlag,
     KeyFromFlag,
     {"digest",
      "First digits of the key's digest, as shown, instead of a key."},
     WorkspaceRevisionFlag,
     ChangeIdFlag,
     OperatorFlag}};
constexpr std::array<FlagInfo, 6> SetLimitFlags = {
    HttpAddressFlag,       RateFlag,     BurstFlag,
    WorkspaceRevisionFlag, ChangeIdFlag, OperatorFlag};
constexpr std::array<FlagInfo, 3> TimelineFlags = {
    {{"request", "Only events of this request."},
     {"group", "Only events of this group."},
     {"kind", "Only events of this kind."}}};
constexpr std::array<FlagInfo, 5> SqlFlags = {
    {{"at",
      "Caller port of any entry host as ADDR:PORT; 127.0.0.1:6432 if absent."},
     {"session", "Name of the caller's session."},
     {"token", "Token that an earlier answer carried."},
     {"request_key", "Idempotency key: a UUID of version 7 in lower case."},
     {"max_age_ms", "How old the data may be in ms."}}};

/// True if \p Text is not empty, not too long and without control characters.
bool isPrintableLine(std::string_view Text, std::size_t MaxLength) {
  return !Text.empty() && Text.size() <= MaxLength &&
         std::ranges::none_of(Text, [](char Character) {
           return static_cast<unsigned char>(Character) < ' ';
         });
}

bool isShortPrintableLine(std::string_view Text) {
  return isPrintableLine(Text, 128);
}

bool isToken(std::string_view Text) { return isPrintableLine(Text, 4096); }

template <typename Number>
Number numberOr(ArgumentReader &Reader, const char *Name, std::uint64_t Min,
                std::uint64_t Max, Number Default) {
  const std::optional<std::uint64_t> Given = Reader.number(Name, Min, Max);
  return Given ? static_cast<Number>(*Given) : Default;
}

Duration durationOr(ArgumentReader &Reader, const char *Name, std::uint64_t Min,
                    std::uint64_t Max, Duration Default) {
  const std::optional<std::uint64_t> Given = Reader.number(Name, Min, Max);
  return Given ? Duration(milliseconds(*Given)) : Default;
}

EntryLimits readLimits(ArgumentReader &Reader) {
  using Bounds = EntryBounds;
  EntryLimits Limits;
  Limits.m_MaxConcurrent =
      numberOr(Reader, "max_concurrent", Bounds::MinConcurrent,
               Bounds::MaxConcurrent, Limits.m_MaxConcurrent);
  Limits.m_MaxQueued =
      numberOr(Reader, "max_queued", 0, Bounds::MaxQueued, Limits.m_MaxQueued);
  Limits.m_RequestDeadline =
      durationOr(Reader, "deadline_ms", Bounds::MinDeadlineMs,
                 Bounds::MaxDeadlineMs, Limits.m_RequestDeadline);
  Limits.m_MaxAnswerBytes =
      numberOr(Reader, "max_answer_bytes", Bounds::MinAnswerBytes,
               Bounds::MaxAnswerBytes, Limits.m_MaxAnswerBytes);
  Limits.m_MaxAge =
      durationOr(Reader, "max_age_ms", 0, Bounds::MaxAgeMs, Limits.m_MaxAge);
  return Limits;
}

/// Reads the flags that all changes of entries and workspaces have.
template <typename ChangeCommand>
void readChangeFlags(ArgumentReader &Reader, ChangeCommand &Parsed) {
  Parsed.m_ExpectRevision = Revision(
      numberOr<std::uint64_t>(Reader, "expect_revision", 0, MaxRevision, 0));
  Parsed.m_Change =
      ChangeId(Reader.text("change_id", isShortPrintableLine, AllowedText));
  Parsed.m_Operator =
      Reader.text("operator", isShortPrintableLine, AllowedText);
}

/// Adds a fault if \p Expected is the revision of something new.
void requireRevision(ArgumentReader &Reader, Revision Expected) {
  if (Expected == Revision(0))
    Reader.addFault("--expect_revision", "0 or missing",
                    fmt::format("1 to {}", MaxRevision));
}

Command readPut(ArgumentReader &Reader) {
  CatalogueCommand Parsed;
  Parsed.m_Action = CatalogueAction::Put;
  Parsed.m_Target = Reader.address(DefaultHttpAddress);
  Parsed.m_Entry.m_Name =
      EntryName(Reader.requiredText("name", isName, AllowedName));
  Parsed.m_Entry.m_Group =
      GroupId(Reader.requiredText("group", isName, AllowedName));
  Parsed.m_Entry.m_Owner =
      OwnerId(Reader.requiredText("owner", isOwnerName, AllowedOwnerName));
  const std::string Class = Reader.requiredText(
      "class",
      [](std::string_view Word) { return parseTrafficClass(Word).has_value(); },
      allowedTrafficClasses());
  const std::optional<TrafficClass> Known = parseTrafficClass(Class);
  Parsed.m_Entry.m_Class = Known.value_or(TrafficClass::Booking);
  Parsed.m_Entry.m_Limits = readLimits(Reader);
  Parsed.m_Entry.m_RequiresKey = Reader.isSet("requires_key");
  if (Known && !allowsAge(*Known) &&
      Parsed.m_Entry.m_Limits.m_MaxAge > Duration(0))
    Reader.addFault("--max_age_ms", "above 0", "0 unless class is aged-read");
  readChangeFlags(Reader, Parsed);
  Reader.positional({});
  return Parsed;
}

/// Reads a command whose only positional argument is the name of an entry.
CatalogueCommand readEntryName(ArgumentReader &Reader, CatalogueAction Action) {
  constexpr std::array Names = {"NAME"};
  CatalogueCommand Parsed;
  Parsed.m_Action = Action;
  Parsed.m_Target = Reader.address(DefaultHttpAddress);
  const std::string Name = Reader.positional(Names).front();
  if (!Name.empty() && !isName(Name))
    Reader.addFault("NAME", Name, AllowedName);
  Parsed.m_Entry.m_Name = EntryName(Name);
  return Parsed;
}

Command readGet(ArgumentReader &Reader) {
  return readEntryName(Reader, CatalogueAction::Get);
}

Command readHistory(ArgumentReader &Reader) {
  return readEntryName(Reader, CatalogueAction::History);
}

Command readDelete(ArgumentReader &Reader) {
  CatalogueCommand Parsed = readEntryName(Reader, CatalogueAction::Delete);
  readChangeFlags(Reader, Parsed);
  requireRevision(Reader, Parsed.m_ExpectRevision);
  return Parsed;
}

Command readList(ArgumentReader &Reader) {
  CatalogueCommand Parsed;
  Parsed.m_Target = Reader.address(DefaultHttpAddress);
  Reader.positional({});
  return Parsed;
}

/// Reads a workspace command whose only positional argument is the name.
WorkspaceCommand readWorkspaceName(ArgumentReader &Reader,
                                   WorkspaceAction Action) {
  constexpr std::array Names = {"NAME"};
  WorkspaceCommand Parsed;
  Parsed.m_Edit.m_Action = Action;
  Parsed.m_Target = Reader.address(DefaultHttpAddress);
  Workspace Checked;
  Checked.m_Name = WorkspaceId(Reader.positional(Names).front());
  if (!Checked.m_Name.value().empty() && !Checked.validate().empty())
    Reader.addFault("NAME", "(not shown)", AllowedWorkspaceName);
  Parsed.m_Name = Checked.m_Name;
  return Parsed;
}

WorkspaceCommand readWorkspaceChange(ArgumentReader &Reader,
                                     WorkspaceAction Action) {
  WorkspaceCommand Parsed = readWorkspaceName(Reader, Action);
  readChangeFlags(Reader, Parsed);
  if (Action != WorkspaceAction::Put)
    requireRevision(Reader, Parsed.m_ExpectRevision);
  return Parsed;
}

/// Reads where a key comes from. The value may be a key that was given by
/// mistake, so it is not shown.
KeySource readKeySource(ArgumentReader &Reader) {
  constexpr std::string_view Environment = "env:";
  const std::string Text = Reader.text(
      "key_from", [](std::string_view) { return true; }, "");
  if (Text == "stdin")
    return {true, ""};
  if (Text.starts_with(Environment) && Text.size() > Environment.size())
    return {true, Text.substr(Environment.size())};
  if (!Text.empty())
    Reader.addFault("--key_from", "(not shown)", "stdin or env:VARIABLE");
  return {};
}

WorkspaceLimit readWorkspaceLimit(ArgumentReader &Reader) {
  WorkspaceLimit Limit;
  Limit.m_RatePerSecond =
      numberOr<std::uint32_t>(Reader, "rate_per_s", 0, MaxOperations, 0);
  Limit.m_Burst = numberOr<std::uint32_t>(Reader, "burst", 0, MaxOperations, 0);
  return Limit;
}

Command readWorkspaceList(ArgumentReader &Reader) {
  WorkspaceCommand Parsed;
  Parsed.m_Edit.m_Action = WorkspaceAction::List;
  Parsed.m_Target = Reader.address(DefaultHttpAddress);
  Parsed.m_Name =
      WorkspaceId(Reader.text("after", isShortPrintableLine, AllowedText));
  Reader.positional({});
  return Parsed;
}

Command readWorkspaceShow(ArgumentReader &Reader) {
  return readWorkspaceName(Reader, WorkspaceAction::Show);
}

Command readWorkspaceDelete(ArgumentReader &Reader) {
  return readWorkspaceChange(Reader, WorkspaceAction::Delete);
}

Command readWorkspacePut(ArgumentReader &Reader) {
  WorkspaceCommand Parsed = readWorkspaceChange(Reader, WorkspaceAction::Put);
  Parsed.m_Edit.m_Limit = readWorkspaceLimit(Reader);
  Parsed.m_KeySource = readKeySource(Reader);
  return Parsed;
}

Command readAddKey(ArgumentReader &Reader) {
  WorkspaceCommand Parsed =
      readWorkspaceChange(Reader, WorkspaceAction::AddKey);
  Parsed.m_KeySource = readKeySource(Reader);
  Parsed.m_KeySource.m_IsGiven = true;
  return Parsed;
}

Command readRemoveKey(ArgumentReader &Reader) {
  WorkspaceCommand Parsed =
      readWorkspaceChange(Reader, WorkspaceAction::RemoveKey);
  Parsed.m_KeySource = readKeySource(Reader);
  // A text that is no digest may be a key, so it is not shown.
  const std::string Digest = Reader.text(
      "digest", [](std::string_view) { return true; }, "");
  if (!Digest.empty() && !isDigestPrefix(Digest))
    Reader.addFault("--digest", "(not shown)",
                    "8 to 64 hexadecimal digits in lower case");
  if (!Digest.empty() && Parsed.m_KeySource.m_IsGiven)
    Reader.addFault("--digest", "(not shown)", "only without --key_from");
  Parsed.m_Edit.m_KeyDigest = Digest;
  Parsed.m_KeySource.m_IsGiven = Digest.empty();
  return Parsed;
}

Command readSetLimit(ArgumentReader &Reader) {
  WorkspaceCommand Parsed =
      readWorkspaceChange(Reader, WorkspaceAction::SetLimit);
  Reader.requiredText(
      "rate_per_s", [](std::string_view) { return true; },
      "operations a second");
  Parsed.m_Edit.m_Limit = readWorkspaceLimit(Reader);
  return Parsed;
}

template <typename CommandType>
Command readAddressOnly(ArgumentReader &Reader) {
  Reader.positional({});
  return CommandType{Reader.address(DefaultHttpAddress)};
}

Command readTimeline(ArgumentReader &Reader) {
  TimelineCommand Parsed;
  for (const std::string &Path : Reader.positionalList("DIR"))
    Parsed.m_Paths.emplace_back(Path);
  const std::string Request =
      Reader.text("request", isShortPrintableLine, AllowedText);
  if (!Request.empty())
    Parsed.m_Filter.m_Request = Request;
  const std::string Group = Reader.text("group", isName, AllowedName);
  if (!Group.empty())
    Parsed.m_Filter.m_Group = GroupId(Group);
  const std::string Kind = Reader.text(
      "kind",
      [](std::string_view Word) { return parseEventKind(Word).has_value(); },
      "one of the kinds that docs/OPERATIONS.md lists");
  Parsed.m_Filter.m_Kind = parseEventKind(Kind);
  return Parsed;
}

Command readExplain(ArgumentReader &Reader) {
  ExplainCommand Parsed;
  std::vector<std::string> Given = Reader.positionalList("ID FILE...");
  if (!Given.empty()) {
    Parsed.m_Id = Given.front();
    Parsed.m_Paths.assign(Given.begin() + 1, Given.end());
  }
  if (Parsed.m_Paths.empty())
    Reader.addFault("FILE", "(missing)", "an id and one log file or more");
  return Parsed;
}

Command readSql(ArgumentReader &Reader) {
  constexpr std::array Names = {"ENTRY", "TEXT"};
  SqlCommand Parsed;
  Parsed.m_Target = Reader.address(DefaultCallerAddress);
  const std::vector<std::string> Given = Reader.positional(Names);
  if (!Given.front().empty() && !isName(Given.front()))
    Reader.addFault("ENTRY", Given.front(), AllowedName);
  Parsed.m_Entry = EntryName(Given.front());
  Parsed.m_Text = Given.back();
  Parsed.m_Session =
      SessionName(Reader.text("session", isShortPrintableLine, AllowedText));
  Parsed.m_Token =
      Reader.text("token", isToken, "1 to 4096 printable characters");
  Parsed.m_RequestKey = RequestKey(Reader.text(
      "request_key",
      [](std::string_view Text) { return uuidV7Time(Text).has_value(); },
      "a UUID of version 7 in lower case"));
  const std::optional<std::uint64_t> AgeMs =
      Reader.number("max_age_ms", 0, EntryBounds::MaxAgeMs);
  if (AgeMs)
    Parsed.m_MaxAge = milliseconds(*AgeMs);
  return Parsed;
}

/// One command of the binary.
struct CommandInfo final {
  std::string_view m_Name;           ///< Name; one word or two.
  std::string_view m_Usage;          ///< Positional arguments, for the help.
  std::string_view m_Summary;        ///< One sentence for the help.
  std::span<const FlagInfo> m_Flags; ///< Its flags.
  Command (*m_Parse)(ArgumentReader &Reader); ///< Null: takes settings.
};

constexpr std::array<CommandInfo, 19> Commands = {
    {{"serve", "", "Runs an entry host, a control host or both.", {}, nullptr},
     {"check-settings",
      "",
      "Checks the settings of serve and ends.",
      {},
      nullptr},
     {"catalogue put", "", "Creates or changes a catalogue entry.", PutFlags,
      readPut},
     {"catalogue get", "NAME", "Shows a catalogue entry.", AddressFlags,
      readGet},
     {"catalogue list", "", "Shows all catalogue entries.", AddressFlags,
      readList},
     {"catalogue delete", "NAME", "Deletes a catalogue entry.", DeleteFlags,
      readDelete},
     {"catalogue history", "NAME", "Shows the changes of an entry.",
      AddressFlags, readHistory},
     {"workspace list", "", "Shows the workspaces by name.", WorkspaceListFlags,
      readWorkspaceList},
     {"workspace show", "NAME", "Shows a workspace.", AddressFlags,
      readWorkspaceShow},
     {"workspace put", "NAME",
      "Creates a workspace or replaces its limit and, if given, its keys.",
      WorkspacePutFlags, readWorkspacePut},
     {"workspace delete", "NAME", "Deletes a workspace and all its keys.",
      WorkspaceDeleteFlags, readWorkspaceDelete},
     {"workspace add-key", "NAME",
      "Adds a key, read from standard input unless --key_from is given.",
      AddKeyFlags, readAddKey},
     {"workspace remove-key", "NAME",
      "Removes a key and ends the sessions of the callers that use it.",
      RemoveKeyFlags, readRemoveKey},
     {"workspace set-limit", "NAME", "Sets the rate limit of a workspace.",
      SetLimitFlags, readSetLimit},
     {"status", "", "Shows what a process knows of the cluster.", AddressFlags,
      readAddressOnly<StatusCommand>},
     {"drain", "", "Shuts a process down gracefully.", AddressFlags,
      readAddressOnly<DrainCommand>},
     {"timeline", "DIR...", "Prints the merged time line of all processes.",
      TimelineFlags, readTimeline},
     {"explain",
      "ID FILE...",
      "Prints a statement's story from the JSON logs of all processes.",
      {},
      readExplain},
     {"sql", "ENTRY TEXT", "Runs one SQL text as a caller.", SqlFlags,
      readSql}}};

std::string commandNames() {
  std::string Names;
  for (const CommandInfo &Info : Commands)
    Names += fmt::format("{}{}", Names.empty() ? "" : ", ", Info.m_Name);
  return Names;
}

std::string generalHelp() {
  std::string Text = "usage: ragwortmux COMMAND [--help] [--version] ...\n\n";
  for (const CommandInfo &Info : Commands)
    Text += fmt::format("  {:<20} {}\n", Info.m_Name, Info.m_Summary);
  return Text;
}

std::string settingsHelp() {
  std::string Text = "Each flag may also stand in the environment, as "
                     "RAGWORTMUX_ and its name in capitals.\n\n";
  for (const SettingInfo &Info : allSettings()) {
    const std::string Default =
        Info.m_IsRequired ? "required" : fmt::format("'{}'", Info.m_Default);
    Text += fmt::format("  --{}: {}\n      allowed: {}; default: {}\n",
                        Info.m_Name, Info.m_Meaning, Info.m_Allowed, Default);
  }
  Text += "\nOnly in the environment:\n\n";
  for (const SecretInfo &Info : {ClusterKeyInfo, OperatorTokenInfo})
    Text += fmt::format("  {}: {}\n      allowed: {}\n", Info.m_Variable,
                        Info.m_Meaning, allowedSecret());
  return Text;
}

std::string commandHelp(const CommandInfo &Info) {
  std::string Text = fmt::format("usage: ragwortmux {}{}{} [FLAGS]\n{}\n\n",
                                 Info.m_Name, Info.m_Usage.empty() ? "" : " ",
                                 Info.m_Usage, Info.m_Summary);
  if (Info.m_Parse == nullptr)
    return Text + settingsHelp();
  for (const FlagInfo &Flag : Info.m_Flags)
    Text += fmt::format("  --{}: {}\n", Flag.m_Name, Flag.m_Help);
  return Text;
}

/// True if \p Arguments contain \p Flag before a lone `--`.
bool hasFlag(std::span<const std::string> Arguments, std::string_view Flag) {
  for (const std::string &Argument : Arguments) {
    if (Argument == "--")
      return false;
    if (Argument == Flag)
      return true;
  }
  return false;
}

/// Finds the command that \p Arguments begin with, null if there is none, and
/// sets \p WordCount to the number of words in its name.
const CommandInfo *findCommand(std::span<const std::string> Arguments,
                               std::size_t &WordCount) {
  const bool HasSubcommands =
      Arguments.front() == "catalogue" || Arguments.front() == "workspace";
  WordCount = HasSubcommands && Arguments.size() > 1 ? 2 : 1;
  const std::string Name =
      WordCount == 1 ? Arguments[0] : Arguments[0] + " " + Arguments[1];
  const auto *Found = std::ranges::find(Commands, Name, &CommandInfo::m_Name);
  return Found == Commands.end() ? nullptr : Found;
}

/// Makes a serve or check-settings command, whose arguments stay unparsed.
Command makeSettingsCommand(const CommandInfo &Info,
                            std::span<const std::string> Arguments) {
  std::vector<std::string> Copy(Arguments.begin(), Arguments.end());
  if (Info.m_Name == "serve")
    return ServeCommand{std::move(Copy)};
  return CheckSettingsCommand{std::move(Copy)};
}

} // namespace

std::optional<Command> parseCommandLine(std::span<const std::string> Arguments,
                                        std::vector<SettingFault> &Faults) {
  if (Arguments.empty()) {
    Faults.push_back(
        {ResultCode::BadArgument, "command", "(missing)", commandNames()});
    return std::nullopt;
  }
  std::size_t WordCount = 0;
  const CommandInfo *Info = findCommand(Arguments, WordCount);
  if (hasFlag(Arguments, "--version"))
    return VersionCommand{};
  if (hasFlag(Arguments, "--help"))
    return HelpCommand{Info == nullptr ? generalHelp() : commandHelp(*Info)};
  if (Info == nullptr) {
    const std::string &First = Arguments.front();
    Faults.push_back({ResultCode::BadArgument, "command",
                      First.substr(0, First.find('=')), commandNames()});
    return std::nullopt;
  }

  const std::span<const std::string> Rest = Arguments.subspan(WordCount);
  if (Info->m_Parse == nullptr)
    return makeSettingsCommand(*Info, Rest);
  const std::size_t Before = Faults.size();
  ArgumentReader Reader(Info->m_Flags, Rest, Faults);
  Command Parsed = Info->m_Parse(Reader);
  if (Faults.size() != Before)
    return std::nullopt;
  return Parsed;
}

} // namespace ragwortmux
