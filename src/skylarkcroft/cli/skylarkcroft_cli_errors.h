#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_CLI_ERRORS_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_CLI_ERRORS_H_

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {

/// The command line cannot be understood.
class usage_error : public error {
 public:
  using error::error;
};

/// A node did not answer.
class unreachable_error : public error {
 public:
  using error::error;
};

/// A node answered with something else than success.
class refused_error : public error {
 public:
  using error::error;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_CLI_ERRORS_H_
