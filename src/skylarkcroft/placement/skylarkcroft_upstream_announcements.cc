#include "skylarkcroft/placement/skylarkcroft_upstream_announcements.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

// Far longer than an upstream goes on after it has told that it leaves.
constexpr milliseconds kMemory{3600000};

}  // namespace

upstream_announcements::announcement& upstream_announcements::For(
    const upstream_entry& entry, time_point now) {
  DropOld(now);
  announcement& told = announcements_[entry.id];
  if (told.incarnation != entry.incarnation) {
    told = {entry.incarnation, {}, {}, {}, now};
  }
  told.told_at = now;
  return told;
}

bool upstream_announcements::RecordLeaving(const upstream_entry& entry,
                                           time_point serves_until,
                                           time_point now) {
  announcement& told = For(entry, now);
  const bool is_new = !told.serves_until.has_value();
  if (is_new) {
    told.serves_until = serves_until;
  }
  return is_new;
}

void upstream_announcements::RecordPause(const upstream_entry& entry,
                                         time_point until, time_point now) {
  announcement& told = For(entry, now);
  told.paused_until = std::max(told.paused_until.value_or(until), until);
}

void upstream_announcements::RecordExit(const upstream_entry& entry,
                                        time_point exits_at, time_point now) {
  announcement& told = For(entry, now);
  told.exits_at = std::min(told.exits_at.value_or(exits_at), exits_at);
}

std::optional<time_point> upstream_announcements::ExitsAt(
    const upstream_entry& entry) const {
  const announcement* told = Find(entry);
  return told == nullptr ? std::nullopt : told->exits_at;
}

const upstream_announcements::announcement* upstream_announcements::Find(
    const upstream_entry& entry) const {
  if (announcements_.empty()) {
    return nullptr;
  }
  const auto found = announcements_.find(entry.id);
  const bool same_process = found != announcements_.end() &&
                            found->second.incarnation == entry.incarnation;
  return same_process ? &found->second : nullptr;
}

std::optional<time_point> upstream_announcements::ServesUntil(
    const upstream_entry& entry) const {
  const announcement* told = Find(entry);
  return told == nullptr ? std::nullopt : told->serves_until;
}

std::optional<time_point> upstream_announcements::PausedUntil(
    const upstream_entry& entry, time_point now) const {
  const announcement* told = Find(entry);
  const bool paused = told != nullptr && told->paused_until.has_value() &&
                      now < *told->paused_until;
  return paused ? told->paused_until : std::nullopt;
}

void upstream_announcements::DropOld(time_point now) {
  std::erase_if(announcements_, [now](const auto& one) {
    const announcement& told = one.second;
    const bool paused =
        told.paused_until.has_value() && now < *told.paused_until;
    return !paused && now - told.told_at > kMemory;
  });
}

}  // namespace skylarkcroft
