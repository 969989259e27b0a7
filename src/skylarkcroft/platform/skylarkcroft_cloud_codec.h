#ifndef SKYLARKCROFT_PLATFORM_SKYLARKCROFT_CLOUD_CODEC_H_
#define SKYLARKCROFT_PLATFORM_SKYLARKCROFT_CLOUD_CODEC_H_

#include <vector>

#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/platform/skylarkcroft_cloud_api.h"

namespace skylarkcroft {

/// The decoders throw config_error on a malformed member.
std::vector<machine_price> DecodePrices(const json_reader& reader);
std::vector<cloud_host> DecodeCloudHosts(const json_reader& reader);
std::vector<reclaim_notice> DecodeNotices(const json_reader& reader);
cloud_host DecodeCloudHost(const nlohmann::json& value,
                           const std::string& path);
start_request DecodeStartRequest(const nlohmann::json& value,
                                 const std::string& path);

nlohmann::json EncodeStartRequest(const start_request& request);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLATFORM_SKYLARKCROFT_CLOUD_CODEC_H_
