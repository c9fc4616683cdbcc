#include "member_sockets.h"

#include <algorithm>
#include <utility>

namespace filbert {

member_sockets::member_sockets(event_loop &loop, zmq::context_t &context,
                               const std::string &identity, const std::string &endpoint,
                               const curve_site &site, milliseconds silenceTimeout,
                               const handler &onMessage)
    : silenceTimeout {silenceTimeout}
    , server {loop, context, endpoint, site.serverKeys(),
              [this, onMessage](const std::string &peer, std::string &&text) {
                  lastContactAt[peer] = monotonicNow();
                  onMessage(peer, std::move(text));
              }}
    , clients {loop, context, identity, site, onMessage}
{
}

void member_sockets::sendToMember(const messages::member &member, const std::string &bytes)
{
    if (member.address().empty()) {
        server.send(member.identity(), bytes);
        return;
    }
    clients.send(member.address(), bytes);
}

void member_sockets::sendToPeer(const std::string &peer, const std::string &bytes)
{
    server.send(peer, bytes);
}

void member_sockets::maintainConnection(const messages::member &member, time_point now)
{
    clients.connect(member.address());
    // A host whose disk was replaced has two identities at one address for a while.
    auto &quietSince = quietSinceOf[member.address()];
    quietSince = std::max(quietSince, lastContactAt[member.identity()]);
    if (now - quietSince < silenceTimeout) {
        return;
    }
    quietSince = now;
    clients.reconnect(member.address());
}

} // namespace filbert
