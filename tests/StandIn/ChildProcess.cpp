#include "tests/StandIn/ChildProcess.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <thread>

extern char **environ;

namespace ragwortmux {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds PollInterval(2);
/// Exit status of a child process that could not execute its program.
constexpr int ExecFailedStatus = 127;

int openUnlinkedFile() {
  std::string Path = "/tmp/ragwortmux-test-XXXXXX";
  const int File = mkostemp(Path.data(), O_CLOEXEC);
  if (File >= 0) {
    unlink(Path.c_str());
  }
  return File;
}

std::string readAll(int File) {
  std::string Text;
  std::array<char, 4096> Block;
  while (File >= 0) {
    const ssize_t Count = pread(File, Block.data(), Block.size(),
                                static_cast<off_t>(Text.size()));
    if (Count <= 0) {
      break;
    }
    Text.append(Block.data(), static_cast<std::size_t>(Count));
  }
  return Text;
}

/// The argument or environment array of execve(), with its null pointer at the
/// end.
std::vector<char *> toPointerArray(std::vector<std::string> &Strings) {
  std::vector<char *> Pointers;
  Pointers.reserve(Strings.size() + 1);
  for (std::string &String : Strings) {
    Pointers.push_back(String.data());
  }
  Pointers.push_back(nullptr);
  return Pointers;
}

} // namespace

ChildProcess::ChildProcess(ChildProcessSettings Settings)
    : m_Settings(std::move(Settings)) {}

ChildProcess::~ChildProcess() {
  kill();
  for (const int File : {m_OutputFile, m_ErrorFile}) {
    if (File >= 0) {
      close(File);
    }
  }
}

bool ChildProcess::start() {
  if (isRunning()) {
    m_LastReason = "the program is already running";
    return false;
  }
  for (int *File : {&m_OutputFile, &m_ErrorFile}) {
    if (*File >= 0) {
      close(*File);
    }
    *File = openUnlinkedFile();
  }
  // All allocations come before the fork: in the child process, only functions
  // that are async-signal-safe may be called.
  std::vector<std::string> Arguments{m_Settings.m_Program};
  Arguments.insert(Arguments.end(), m_Settings.m_Arguments.begin(),
                   m_Settings.m_Arguments.end());
  std::vector<std::string> Environment;
  for (char **Variable = environ; *Variable != nullptr; ++Variable) {
    Environment.emplace_back(*Variable);
  }
  for (const auto &Variable : m_Settings.m_Environment) {
    const std::string Prefix = Variable.first + "=";
    std::erase_if(Environment, [&Prefix](const std::string &Entry) {
      return Entry.starts_with(Prefix);
    });
    Environment.push_back(Prefix + Variable.second);
  }
  const std::vector<char *> ArgumentPointers = toPointerArray(Arguments);
  const std::vector<char *> EnvironmentPointers = toPointerArray(Environment);
  const pid_t Parent = getpid();
  const pid_t Child = fork();
  if (Child < 0) {
    m_LastReason = std::strerror(errno);
    return false;
  }
  if (Child == 0) {
    // If the parent ended before prctl(), no signal comes; hence the check.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != Parent) {
      _exit(ExecFailedStatus);
    }
    dup2(m_OutputFile, STDOUT_FILENO);
    dup2(m_ErrorFile, STDERR_FILENO);
    execve(ArgumentPointers[0], ArgumentPointers.data(),
           EnvironmentPointers.data());
    _exit(ExecFailedStatus);
  }
  m_ProcessId = Child;
  m_WaitStatus.reset();
  return true;
}

std::optional<std::string>
ChildProcess::waitForLine(std::string_view Prefix,
                          std::chrono::milliseconds Timeout) {
  const auto Deadline = Clock::now() + Timeout;
  const std::string Marker = "\n" + std::string(Prefix);
  while (true) {
    const bool Running = isRunning();
    const std::string Text = "\n" + output();
    const std::size_t Begin = Text.find(Marker);
    const std::size_t End = Begin == std::string::npos
                                ? std::string::npos
                                : Text.find('\n', Begin + Marker.size());
    if (End != std::string::npos) {
      return Text.substr(Begin + Marker.size(), End - Begin - Marker.size());
    }
    if (!Running || Clock::now() >= Deadline) {
      m_LastReason = (Running ? "time-out waiting for a line; output: "
                              : "the program ended; output: ") +
                     output() + errors();
      return std::nullopt;
    }
    std::this_thread::sleep_for(PollInterval);
  }
}

std::optional<std::uint16_t>
ChildProcess::waitForPort(std::chrono::milliseconds Timeout) {
  const auto Line = waitForLine("listening ", Timeout);
  if (!Line) {
    return std::nullopt;
  }
  std::uint16_t Port = 0;
  const char *const End = Line->data() + Line->size();
  if (std::from_chars(Line->data(), End, Port).ec != std::errc()) {
    m_LastReason = "the program reported an invalid port: " + *Line;
    return std::nullopt;
  }
  return Port;
}

std::optional<int>
ChildProcess::waitForExit(std::chrono::milliseconds Timeout) {
  const auto Deadline = Clock::now() + Timeout;
  while (isRunning()) {
    if (Clock::now() >= Deadline) {
      m_LastReason = "time-out waiting for the program to exit";
      return std::nullopt;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return m_WaitStatus;
}

void ChildProcess::kill() {
  signal(SIGKILL);
  reap(true);
}

void ChildProcess::terminate() { signal(SIGTERM); }

void ChildProcess::hangUp() { signal(SIGHUP); }

void ChildProcess::stop() { signal(SIGSTOP); }

void ChildProcess::resume() { signal(SIGCONT); }

bool ChildProcess::isRunning() {
  reap(false);
  return m_ProcessId != 0;
}

std::string ChildProcess::output() const { return readAll(m_OutputFile); }

std::string ChildProcess::errors() const { return readAll(m_ErrorFile); }

void ChildProcess::signal(int Number) {
  // isRunning() reaps first. Once a process is reaped, its id may be reused by
  // another process and must not be signalled.
  if (isRunning()) {
    ::kill(m_ProcessId, Number);
  }
}

void ChildProcess::reap(bool Block) {
  if (m_ProcessId == 0) {
    return;
  }
  int Status = 0;
  pid_t Reaped = 0;
  do {
    Reaped = waitpid(m_ProcessId, &Status, Block ? 0 : WNOHANG);
  } while (Reaped < 0 && errno == EINTR);
  if (Reaped == m_ProcessId) {
    m_ProcessId = 0;
    m_WaitStatus = Status;
  }
}

} // namespace ragwortmux
