// A process started by a test, ended at the latest with its owner.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jasminecroft::processes {

class child_process {
public:
  /// Starts Program; its standard error goes to the file LogFile, its standard
  /// output to OutputFile.
  child_process(const std::string &Program,
                const std::vector<std::string> &Arguments,
                const std::string &LogFile,
                const std::string &OutputFile = "/dev/null");
  /// Kills the process if it still runs.
  ~child_process();
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  /// Most memory that it has had, in bytes; 0 once it has ended.
  std::size_t highestMemory() const;
  /// Descriptors that it has open; 0 once it has ended.
  std::size_t openDescriptors() const;
  void signal(int Number) const;
  pid_t pid() const { return Pid; }
  /// Exit code, or 128 and the signal's number; absent if it still runs.
  std::optional<int> waitExit(std::chrono::seconds Bound);

private:
  pid_t Pid = -1;
  std::optional<int> ExitCode;
};

} // namespace jasminecroft::processes
