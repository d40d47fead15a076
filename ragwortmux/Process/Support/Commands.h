#ifndef RAGWORTMUX_PROCESS_SUPPORT_COMMANDS_H
#define RAGWORTMUX_PROCESS_SUPPORT_COMMANDS_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Process/Support/SocketAddress.h"
#include "ragwortmux/Process/Support/TimelineMerger.h"
#include "ragwortmux/Process/Support/WorkspaceJson.h"
#include "ragwortmux/Version/CatalogueEntry.h"

#include <filesystem>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// The commands of the ragwortmux binary, as parsed from the command line.

namespace ragwortmux {

/// Prints a help text and exits.
struct HelpCommand final {
  std::string m_Text; ///< Text to print.
};

/// Prints the version and exits.
struct VersionCommand final {};

/// Runs an entry host, a control host or both.
struct ServeCommand final {
  std::vector<std::string> m_Arguments; ///< Passed to loadSettings.
};

/// Checks the settings of `serve` and exits.
struct CheckSettingsCommand final {
  std::vector<std::string> m_Arguments; ///< Passed to loadSettings.
};

/// Action of a CatalogueCommand.
enum class CatalogueAction : std::uint8_t { Put, Get, List, Delete, History };

/// Reads or changes the catalogue.
struct CatalogueCommand final {
  CatalogueAction m_Action = CatalogueAction::List; ///< The action.
  SocketAddress m_Target;    ///< HTTP port of any entry host.
  CatalogueEntry m_Entry;    ///< Put: the entry; List: unused; else its name.
  Revision m_ExpectRevision; ///< Put, Delete: expected revision of the entry;
                             ///< 0: no entry must exist.
  ChangeId m_Change; ///< Put, Delete: idempotency id; empty: a new one is made.
  std::string m_Operator; ///< Put, Delete: operator named in the history.
};

/// Where the keys of a command come from. Arguments are no source, because
/// process lists show them.
struct KeySource final {
  bool m_IsGiven = false; ///< False: the command has no keys.
  std::string m_Variable; ///< Environment variable; empty: standard input.
};

/// Reads or changes workspaces.
struct WorkspaceCommand final {
  SocketAddress m_Target;    ///< HTTP port of any entry host.
  WorkspaceId m_Name;        ///< The workspace; List: begin after this name.
  WorkspaceEdit m_Edit;      ///< The action; the keys are those of m_KeySource.
  KeySource m_KeySource;     ///< Put, AddKey, RemoveKey: source of the keys.
  Revision m_ExpectRevision; ///< Changes: expected revision of the workspace;
                             ///< 0: no workspace must exist.
  ChangeId m_Change; ///< Changes: idempotency id; empty: a new one is made.
  std::string m_Operator; ///< Changes: operator named in the time line.
};

/// Shows the state of the cluster as an entry host sees it.
struct StatusCommand final {
  SocketAddress m_Target; ///< HTTP port of the entry host.
};

/// Shuts a process down gracefully.
struct DrainCommand final {
  SocketAddress m_Target; ///< HTTP port of the process.
};

/// Prints the merged time line.
struct TimelineCommand final {
  std::vector<std::filesystem::path> m_Paths; ///< Files and folders.
  TimelineFilter m_Filter;                    ///< Selects the events.
};

/// Explains the outcome of a statement from logs.
struct ExplainCommand final {
  std::string m_Id;                           ///< The statement's id.
  std::vector<std::filesystem::path> m_Paths; ///< Log files.
};

/// Runs one SQL text as a caller.
struct SqlCommand final {
  SocketAddress m_Target;           ///< Caller port of any entry host.
  EntryName m_Entry;                ///< The catalogue entry.
  std::string m_Text;               ///< The SQL text.
  SessionName m_Session;            ///< May be empty.
  std::string m_Token;              ///< Read-your-writes token; may be empty.
  RequestKey m_RequestKey;          ///< Idempotency key; may be empty.
  std::optional<Duration> m_MaxAge; ///< Maximum age of the data.
};

/// Any command.
using Command = std::variant<HelpCommand, VersionCommand, ServeCommand,
                             CheckSettingsCommand, CatalogueCommand,
                             WorkspaceCommand, StatusCommand, DrainCommand,
                             TimelineCommand, ExplainCommand, SqlCommand>;

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_COMMANDS_H
