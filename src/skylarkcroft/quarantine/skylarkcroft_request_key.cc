#include "skylarkcroft/quarantine/skylarkcroft_request_key.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace skylarkcroft {

request_key MakeRequestKey(const request_identity& identity) {
  // Each field is hashed by itself, so that bytes cannot move between fields.
  const std::array<std::string_view, 5> fields{
      identity.service, identity.method, identity.target, identity.workspace,
      identity.body};
  std::array<uint64_t, 2 * fields.size()> digests{};
  for (size_t i = 0; i < fields.size(); ++i) {
    digests[2 * i] = fields[i].size();
    digests[2 * i + 1] = XXH3_64bits(fields[i].data(), fields[i].size());
  }
  const uint64_t key = XXH3_64bits(digests.data(), sizeof digests);
  return std::max<uint64_t>(key, 1);
}

}  // namespace skylarkcroft
