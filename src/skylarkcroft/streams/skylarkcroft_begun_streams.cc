#include "skylarkcroft/streams/skylarkcroft_begun_streams.h"

#include <xxhash.h>

#include <chrono>

namespace skylarkcroft {

stream_key MakeStreamKey(std::string_view request_id) {
  return XXH3_64bits(request_id.data(), request_id.size());
}

void begun_streams::RecordOwn(stream_key key, const stream_origin& origin,
                              time_point expires_at) {
  Record(key, {origin, expires_at, true, false});
}

void begun_streams::RecordOther(stream_key key, const stream_origin& origin,
                                time_point expires_at) {
  const auto known = streams_.find(key);
  if (known != streams_.end() && known->second.is_own) {
    return;
  }
  Record(key, {origin, expires_at, false, false});
}

void begun_streams::Record(stream_key key, const entry& stream) {
  Erase(key);
  streams_.emplace(key, stream);
  by_expiry_.emplace(stream.expires_at, key);
  if (streams_.size() > max_streams_) {
    Erase(by_expiry_.begin()->second);
  }
}

void begun_streams::Erase(stream_key key) {
  const auto known = streams_.find(key);
  if (known == streams_.end()) {
    return;
  }
  by_expiry_.erase({known->second.expires_at, key});
  streams_.erase(known);
}

void begun_streams::RecordWhole(stream_key key) {
  const auto known = streams_.find(key);
  if (known != streams_.end()) {
    known->second.is_whole = true;
  }
}

std::optional<stream_origin> begun_streams::Find(stream_key key,
                                                 time_point now) const {
  const auto known = streams_.find(key);
  if (known == streams_.end() || known->second.expires_at <= now) {
    return std::nullopt;
  }
  return known->second.origin;
}

void begun_streams::DropExpired(time_point now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    Erase(by_expiry_.begin()->second);
  }
}

stream_list begun_streams::Unfinished(size_t most, time_point now) const {
  stream_list unfinished;
  size_t count = 0;
  for (auto last = by_expiry_.rbegin(); last != by_expiry_.rend(); ++last) {
    const auto& [expires_at, key] = *last;
    const entry& stream = streams_.at(key);
    if (!stream.is_own || stream.is_whole) {
      continue;
    }
    if (count == most || expires_at <= now) {
      break;
    }
    if (count == 0) {
      unfinished.life =
          std::chrono::ceil<milliseconds>(stream.expires_at - now);
    }
    ++count;
    unfinished.streams[stream.origin].push_back(key);
  }
  return unfinished;
}

}  // namespace skylarkcroft
