#ifndef RAGWORTMUX_PROCESS_SUPPORT_COMMANDS_H
#define RAGWORTMUX_PROCESS_SUPPORT_COMMANDS_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Process/Support/SocketAddress.h"
#include "ragwortmux/Process/Support/TimelineMerger.h"
#include "ragwortmux/Version/CatalogueEntry.h"

#include <filesystem>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// The commands of the ragwortmux binary as the command line gives them.

namespace ragwortmux {

/// Prints a text for people and ends.
struct HelpCommand final {
  std::string m_Text; ///< The text.
};

/// Prints the version and ends.
struct VersionCommand final {};

/// Runs a process of the system.
struct ServeCommand final {
  std::vector<std::string> m_Arguments; ///< For loadSettings.
};

/// Checks the settings of `serve` and ends.
struct CheckSettingsCommand final {
  std::vector<std::string> m_Arguments; ///< For loadSettings.
};

/// What a CatalogueCommand does.
enum class CatalogueAction : std::uint8_t { Put, Get, List, Delete, History };

/// Reads or changes the catalogue.
struct CatalogueCommand final {
  CatalogueAction m_Action = CatalogueAction::List; ///< What to do.
  SocketAddress m_Target;    ///< HTTP port of any entry host.
  CatalogueEntry m_Entry;    ///< Put: the entry; List: unused; else its name.
  Revision m_ExpectRevision; ///< Put, Delete: the entry's revision; 0 = none
                             ///< must exist.
  ChangeId m_Change;         ///< Put, Delete: may be empty for a new one.
  std::string m_Operator;    ///< Put, Delete: who makes the change.
};

/// Shows what an entry host knows of the cluster.
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
  TimelineFilter m_Filter;                    ///< Which events are wanted.
};

/// Prints a statement's story from logs.
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
  std::optional<Duration> m_MaxAge; ///< How old the data may be.
};

/// Any command.
using Command =
    std::variant<HelpCommand, VersionCommand, ServeCommand,
                 CheckSettingsCommand, CatalogueCommand, StatusCommand,
                 DrainCommand, TimelineCommand, ExplainCommand, SqlCommand>;

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_COMMANDS_H
