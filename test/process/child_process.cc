#include "process/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace mulberryroad::process {

namespace {

constexpr int kSignalExitBase = 128;
constexpr int kExecFailed = 127;
constexpr int kLogMode = 0644;
constexpr std::chrono::milliseconds kPoll{2};

[[noreturn]] void Execute(const std::string& program,
                          const std::vector<std::string>& arguments,
                          const std::string& log_path) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(log_path.c_str(),
                       O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, kLogMode);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  std::vector<char*> native{const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) {
    native.push_back(const_cast<char*>(argument.c_str()));
  }
  native.push_back(nullptr);
  execv(program.c_str(), native.data());
  _exit(kExecFailed);
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           std::string log_path)
    : log_path_(std::move(log_path)) {
  pid_ = fork();
  if (pid_ == 0) {
    Execute(program, arguments, log_path_);
  }
}

ChildProcess::~ChildProcess() { Kill(); }

std::string ChildProcess::Log() const {
  std::ostringstream text;
  text << std::ifstream(log_path_).rdbuf();
  return text.str();
}

void ChildProcess::Signal(int signal_number) const {
  if (pid_ > 0 && !exit_code_.has_value()) {
    kill(pid_, signal_number);
  }
}

bool ChildProcess::Running() {
  return !Wait(std::chrono::milliseconds(0)).has_value();
}

std::optional<int> ChildProcess::Wait(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!exit_code_.has_value()) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                     : kSignalExitBase + WTERMSIG(status);
    } else if (std::chrono::steady_clock::now() >= end) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(kPoll);
    }
  }
  return exit_code_;
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  Wait(std::chrono::seconds(10));
}

}  // namespace mulberryroad::process
