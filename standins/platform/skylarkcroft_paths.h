#ifndef STANDINS_PLATFORM_SKYLARKCROFT_PATHS_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_PATHS_H_

namespace skylarkcroft::standin {

/// Where each service is found; a path that ends with a slash is a prefix.
inline constexpr char kTablePath[] = "/";
inline constexpr char kObjectPath[] = "/objects/";
inline constexpr char kHostListPath[] = "/hosts";
inline constexpr char kCloudPath[] = "/cloud/";
inline constexpr char kWeightPath[] = "/weights/";
inline constexpr char kAdminPath[] = "/admin/";

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_PATHS_H_
