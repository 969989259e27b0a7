#include "tests/relay_soak/relay_program.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "tests/free_ports.h"

namespace skylarkcroft::soak {

relay_program::relay_program(const relay_program_terms& terms) : terms_(terms) {
  constexpr size_t kPorts = 4;
  const std::vector<uint16_t> ports = FreePorts(kPorts);
  const std::string host = "127.0.0.1";
  clients_ = {host, ports[0]};
  readiness_ = {host, ports[1]};
  peers_ = {host, ports[2]};
  metrics_ = {host, ports[3]};
  WriteSettings();
}

relay_program::~relay_program() { Kill(); }

std::string relay_program::SettingsPath() const {
  return terms_.folder + "/" + terms_.name + ".json";
}

std::string relay_program::LogPath() const {
  return terms_.folder + "/" + terms_.name + ".log";
}

void relay_program::WriteSettings() const {
  nlohmann::json settings = {{"node", terms_.name},
                             {"availability_zone", terms_.availability_zone},
                             {"first_start", true},
                             {"listen",
                              {{"clients", ToString(clients_)},
                               {"readiness", ToString(readiness_)},
                               {"peers", ToString(peers_)},
                               {"metrics", ToString(metrics_)}}},
                             {"store", ToString(terms_.platform)},
                             {"cloud", ToString(terms_.platform)}};
  if (terms_.memory_mb > 0) {
    settings["memory_mb"] = terms_.memory_mb;
  }
  if (terms_.file_descriptors > 0) {
    settings["file_descriptors"] = terms_.file_descriptors;
  }
  std::ofstream(SettingsPath()) << settings.dump(2);
}

void relay_program::Start() {
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  constexpr int kMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, LogPath().c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kMode);
  std::string command = "relay";
  std::string option = "--settings";
  std::string path = SettingsPath();
  std::array<char*, 5> arguments = {terms_.program.data(), command.data(),
                                    option.data(), path.data(), nullptr};
  const int failure = posix_spawn(&pid_, terms_.program.c_str(), &actions,
                                  nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    pid_ = 0;
    throw network_error("cannot start " + terms_.program,
                        "build the program first");
  }
}

void relay_program::Signal(int number) const {
  if (pid_ > 0) {
    kill(pid_, number);
  }
}

void relay_program::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

bool relay_program::HasEnded() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ == 0;
}

}  // namespace skylarkcroft::soak
