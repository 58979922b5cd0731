// Starts processes by posix_spawn and waits for their end.
#include "jasminecroft/processes/child_process.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace jasminecroft::processes {

namespace {

constexpr std::chrono::milliseconds PollInterval{10};
constexpr int SignalExitBase = 128;

} // namespace

child_process::child_process(const std::string &Program,
                             const std::vector<std::string> &Arguments,
                             const std::string &LogFile,
                             const std::string &OutputFile) {
  std::vector<char *> Texts;
  Texts.push_back(const_cast<char *>(Program.c_str()));
  for (const std::string &Argument : Arguments)
    Texts.push_back(const_cast<char *>(Argument.c_str()));
  Texts.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDERR_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, OutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  int Result = posix_spawn(&Pid, Program.c_str(), &Files, nullptr, Texts.data(),
                           environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Result != 0)
    throw std::runtime_error("cannot start " + Program);
}

child_process::~child_process() {
  if (ExitCode)
    return;
  kill(Pid, SIGKILL);
  int Status = 0;
  waitpid(Pid, &Status, 0);
}

std::size_t child_process::highestMemory() const {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  std::string Word;
  while (Status >> Word)
    if (Word == "VmHWM:") {
      std::size_t Kilobytes = 0;
      Status >> Kilobytes;
      return Kilobytes << 10U;
    }
  return 0;
}

std::size_t child_process::openDescriptors() const {
  std::error_code Error;
  std::filesystem::directory_iterator Open(
      "/proc/" + std::to_string(Pid) + "/fd", Error);
  return Error ? 0
               : static_cast<std::size_t>(std::distance(
                     Open, std::filesystem::directory_iterator()));
}

void child_process::signal(int Number) const {
  if (!ExitCode)
    kill(Pid, Number);
}

std::optional<int> child_process::waitExit(std::chrono::seconds Bound) {
  std::chrono::steady_clock::time_point End =
      std::chrono::steady_clock::now() + Bound;
  while (!ExitCode && std::chrono::steady_clock::now() < End) {
    int Status = 0;
    if (waitpid(Pid, &Status, WNOHANG) == Pid)
      ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                   : SignalExitBase + WTERMSIG(Status);
    else
      std::this_thread::sleep_for(PollInterval);
  }
  return ExitCode;
}

} // namespace jasminecroft::processes
