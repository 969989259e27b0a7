#ifndef SKYLARKCROFT_TESTS_CHILD_PROGRAM_H_
#define SKYLARKCROFT_TESTS_CHILD_PROGRAM_H_

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <vector>

namespace skylarkcroft {

/// A program of the build folder as a process of its own, ended at the latest
/// with this object.
class child_program {
 public:
  /// `name` is relative to the build folder.
  child_program(const std::string& name, std::vector<std::string> options) {
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&actions, ends[0]);
    std::string path = std::string(SKYLARKCROFT_PROGRAMS "/") + name;
    std::vector<char*> arguments = {path.data()};
    for (std::string& option : options) {
      arguments.push_back(option.data());
    }
    arguments.push_back(nullptr);
    REQUIRE(posix_spawn(&pid_, path.c_str(), &actions, nullptr,
                        arguments.data(), environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    output_ = ends[0];
  }
  ~child_program() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    close(output_);
  }
  child_program(const child_program&) = delete;
  child_program& operator=(const child_program&) = delete;

  /// The next line of its standard output, without the line break.
  std::string ReadLine() const {
    std::string line;
    char next = 0;
    while (read(output_, &next, 1) == 1 && next != '\n') {
      line += next;
    }
    return line;
  }

  void Signal(int number) const { kill(pid_, number); }

  /// Sends SIGTERM and returns the wait status.
  int Terminate() {
    kill(pid_, SIGTERM);
    return Wait();
  }

  /// Waits for the end and returns the wait status.
  int Wait() {
    int status = -1;
    waitpid(pid_, &status, 0);
    pid_ = 0;
    return status;
  }

 private:
  pid_t pid_ = 0;
  int output_ = -1;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_CHILD_PROGRAM_H_
