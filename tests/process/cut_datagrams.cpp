// Preloaded into nodes under test so that they can be cut off from the other nodes: while the file TEST_DATAGRAMS_CUT starts
// with '1', the datagrams that the process sends are dropped, and so are those that it receives.

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

namespace
{

using SendTo = ssize_t (*) (int, const void*, size_t, int, const sockaddr*, socklen_t);
using ReceiveFrom = ssize_t (*) (int, void*, size_t, int, sockaddr*, socklen_t*);
using SendMessage = ssize_t (*) (int, const msghdr*, int);

template <typename Function>
auto nextDefinition (const char* name) -> Function
{
    return reinterpret_cast<Function> (dlsym (RTLD_NEXT, name));
}

auto isCut (int socket) -> bool
{
    static const auto file = []
    {
        const auto* path = std::getenv ("TEST_DATAGRAMS_CUT");
        return path == nullptr ? -1 : ::open (path, O_RDONLY | O_CLOEXEC);
    }();

    auto state = '0';

    if (::pread (file, &state, 1, 0) != 1 || state != '1')
        return false;

    auto type = 0;
    socklen_t size = sizeof type;
    return ::getsockopt (socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_DGRAM;
}

} // namespace

extern "C" auto sendto (
    int socket, const void* data, size_t size, int flags, const sockaddr* to, socklen_t toSize) -> ssize_t
{
    static const auto next = nextDefinition<SendTo> ("sendto");
    return isCut (socket) ? static_cast<ssize_t> (size) : next (socket, data, size, flags, to, toSize);
}

extern "C" auto sendmsg (int socket, const msghdr* message, int flags) -> ssize_t
{
    static const auto next = nextDefinition<SendMessage> ("sendmsg");

    if (! isCut (socket))
        return next (socket, message, flags);

    auto size = size_t { 0 };

    for (auto part = size_t { 0 }; part < message->msg_iovlen; ++part)
        size += message->msg_iov[part].iov_len;

    return static_cast<ssize_t> (size);
}

extern "C" auto recvfrom (int socket, void* data, size_t size, int flags, sockaddr* from, socklen_t* fromSize)
    -> ssize_t
{
    static const auto next = nextDefinition<ReceiveFrom> ("recvfrom");
    const auto received = next (socket, data, size, flags, from, fromSize);

    if (received < 0 || ! isCut (socket))
        return received;

    errno = EAGAIN;
    return -1;
}
