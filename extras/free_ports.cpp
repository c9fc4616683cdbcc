/** @file filbert-free-ports: prints unused TCP ports of 127.0.0.1, one per line, for tests.

    Usage: filbert-free-ports [COUNT]
*/

#include <arpa/inet.h>
#include <cstdlib>
#include <iostream>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

int main(int argc, char **argv)
{
    const int count = argc > 1 ? std::atoi(argv[1]) : 1;
    std::vector<int> sockets; // kept open until all are printed, so that no port is printed twice
    for (int i = 0; i < count; ++i) {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), length) != 0
            || getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
            return 1;
        }
        std::cout << ntohs(address.sin_port) << "\n";
        sockets.push_back(descriptor);
    }
    for (const int descriptor : sockets) {
        close(descriptor);
    }
    return 0;
}
