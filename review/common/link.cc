#include "review/common/link.h"

#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

namespace review {
namespace {

constexpr int64_t kPollMs = 5;

}  // namespace

link::link(uint16_t target)
    : target_(target), listener_(Listen(0)), port_(PortOf(listener_)) {
  std::thread([this] { Accept(); }).detach();
}

void link::Accept() {
  while (true) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    path taken{std::make_shared<connection>(fd),
               std::make_shared<connection>(Connect(target_))};
    {
      const std::lock_guard<std::mutex> guard(lock_);
      machines_.push_back(taken.machine);
      SetDropping(fd);
    }
    std::thread([this, taken] { Forward(taken, true); }).detach();
    std::thread([this, taken] { Forward(taken, false); }).detach();
  }
}

void link::Forward(const path& taken, bool to_platform) {
  connection& from = to_platform ? *taken.machine : *taken.platform;
  const connection& to = to_platform ? *taken.platform : *taken.machine;
  std::string bytes;
  bool open = true;
  while (open) {
    open = from.ReadSome(bytes);
    while (!to_platform && cut_) {
      SleepMs(kPollMs);
    }
    open = to.Write(bytes) && open;
    bytes.clear();
  }
  if (from.was_reset()) {
    to.ResetOnClose();
  }
  shutdown(to.fd(), SHUT_WR);
}

// Called with the lock held, so that no socket misses a change.
void link::SetDropping(int fd) const {
  sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program{1, &drop_all};
  if (cut_) {
    setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
  } else {
    const int ignored = 0;
    setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &ignored, sizeof ignored);
  }
}

void link::Cut() {
  const std::lock_guard<std::mutex> guard(lock_);
  cut_ = true;
  SetDropping(listener_);
  for (const std::weak_ptr<connection>& known : machines_) {
    if (const auto machine = known.lock()) {
      SetDropping(machine->fd());
    }
  }
}

void link::Heal() {
  const std::lock_guard<std::mutex> guard(lock_);
  cut_ = false;
  SetDropping(listener_);
  for (const std::weak_ptr<connection>& known : machines_) {
    if (const auto machine = known.lock()) {
      SetDropping(machine->fd());
    }
  }
}

}  // namespace review
