// A program that a test started and that ends with the test at the latest.

#ifndef MULBERRYROAD_TEST_PROCESS_CHILD_PROCESS_H_
#define MULBERRYROAD_TEST_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace mulberryroad::process {

/// The kernel kills the program if the test's process goes first.
class ChildProcess {
 public:
  /// @param log_path file that takes standard output and standard error
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments, std::string log_path);
  /// Kills the program if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  const std::string& log_path() const { return log_path_; }
  /// Returns what the program wrote so far.
  std::string Log() const;
  void Signal(int signal_number) const;
  bool Running();
  /// Waits for the end of the program.
  /// @return exit code, 128 plus the signal's number, or nullopt after the time
  std::optional<int> Wait(std::chrono::milliseconds timeout);
  /// Kills the program and waits for its end.
  void Kill();

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
  std::string log_path_;
};

}  // namespace mulberryroad::process

#endif  // MULBERRYROAD_TEST_PROCESS_CHILD_PROCESS_H_
