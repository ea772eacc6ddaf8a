#include "almondlever/transport/DeadPeerDetection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace almondlever {

namespace {

    bool setOption(int socket, int level, int name, int value)
    {
        return setsockopt(socket, level, name, &value, sizeof(value)) == 0;
    }

} // namespace

bool detectDeadPeer(int socket, const DeadPeerTimes& times)
{
    const int probeAfter = static_cast<int>(times.probeAfter.count());
    const int unacknowledged = static_cast<int>(times.unacknowledged.count());
    return setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1) && setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, probeAfter)
        && setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, probeAfter)
        && setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, times.probes)
        && setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged);
}

} // namespace almondlever
