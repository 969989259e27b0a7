#ifndef SKYLARKCROFT_PLATFORM_SKYLARKCROFT_HOST_LIST_CODEC_H_
#define SKYLARKCROFT_PLATFORM_SKYLARKCROFT_HOST_LIST_CODEC_H_

#include <vector>

#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/platform/skylarkcroft_host_list.h"

namespace skylarkcroft {

/// Reads member `hosts`; throws config_error on a malformed host.
std::vector<listed_host> DecodeListedHosts(const json_reader& reader);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLATFORM_SKYLARKCROFT_HOST_LIST_CODEC_H_
