#ifndef SKYLARKCROFT_PLATFORM_SKYLARKCROFT_OBJECT_STORE_H_
#define SKYLARKCROFT_PLATFORM_SKYLARKCROFT_OBJECT_STORE_H_

#include <functional>
#include <memory>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

class http_client;

enum class put_condition {
  kNone,      ///< Replaces an object that exists.
  kIfAbsent,  ///< Fails when an object exists.
};

enum class object_write_outcome {
  kDone,      ///< The object was stored, or is gone.
  kExists,    ///< The key was taken; nothing was stored by this call. After an
              ///< unknown outcome the object may be one's own.
  kRejected,  ///< Not sent, or refused by rate; nothing took effect.
  kUnknown,   ///< No answer; the call may have taken effect.
};

struct object_write_result {
  object_write_outcome outcome = object_write_outcome::kUnknown;
  /// Entity tag of the object stored.
  std::string etag;

  bool operator==(const object_write_result&) const = default;
};

struct object_read_result {
  read_outcome outcome = read_outcome::kUnavailable;
  std::string body;
  std::string etag;

  bool operator==(const object_read_result&) const = default;
};

using object_write_done_fn = std::function<void(const object_write_result&)>;
using object_read_done_fn = std::function<void(const object_read_result&)>;

/// The platform's object store. Keys are not empty and may hold slashes. Calls
/// never answer from inside themselves.
class object_store {
 public:
  virtual ~object_store() = default;

  virtual void Put(const std::string& key, const std::string& body,
                   put_condition condition, object_write_done_fn done) = 0;
  virtual void Get(const std::string& key, object_read_done_fn done) = 0;
  /// Deleting a missing object is done too.
  virtual void Delete(const std::string& key, object_write_done_fn done) = 0;
};

/// object_store over the wire protocol of docs/platform-protocol.md.
std::unique_ptr<object_store> MakeObjectStoreClient(http_client& client,
                                                    const endpoint& address,
                                                    milliseconds timeout);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLATFORM_SKYLARKCROFT_OBJECT_STORE_H_
