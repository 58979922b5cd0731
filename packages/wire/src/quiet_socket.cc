// A look at the socket without taking anything from it.
#include "jasminecroft/wire/quiet_socket.h"

#include <cerrno>
#include <sys/socket.h>

namespace jasminecroft {

bool isQuiet(int Socket) {
  char Byte = 0;
  ssize_t Result = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace jasminecroft
