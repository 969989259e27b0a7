#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SOCKET_STATE_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SOCKET_STATE_H_

#include <cstddef>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// True if the peer of a non-blocking TCP socket has closed or reset the
/// connection and no unread bytes stand before that. After a pause of the event
/// loop this is known before the loop reports it.
bool HasPeerClosed(int fd);

/// True if bytes have arrived on a TCP socket that the event loop has not read.
bool HasUnreadBytes(int fd);

/// Number of bytes written to a TCP socket that its peer has not acknowledged;
/// 0 if the connection has failed.
size_t UnacknowledgedBytes(int fd);

/// Sets whether closing a TCP socket resets its connection and so discards the
/// bytes that its peer has not acknowledged. Holds also when the process ends.
void SetResetOnClose(int fd, bool resets);

/// Makes a TCP connection fail when sent data stays unacknowledged for
/// `ack_timeout`, counted from when it is first sent again; 0 leaves the time
/// to the system.
void SetUserTimeout(int fd, milliseconds ack_timeout);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SOCKET_STATE_H_
