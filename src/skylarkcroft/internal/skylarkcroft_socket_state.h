#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SOCKET_STATE_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SOCKET_STATE_H_

#include <cstddef>

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

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SOCKET_STATE_H_
