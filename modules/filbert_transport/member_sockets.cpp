#include "member_sockets.h"

#include <algorithm>
#include <utility>

namespace filbert {

member_sockets::member_sockets(event_loop &loop, zmq::context_t &context,
                               const std::string &identity, const std::string &endpoint,
                               const curve_site &site, milliseconds silenceTimeout,
                               const message_handler &onMessage)
    : silenceTimeout {silenceTimeout}
    , server {loop, context, endpoint, site.serverKeys(),
              [this, onMessage](const std::string &peer, std::string &&text) {
                  if (!isGeneratedPeerName(peer)) {
                      lastContactAt[peer] = monotonicNow();
                  }
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
    // For a while after its disk was replaced, a host has two identities at one address, so the
    // time is stored by address.
    auto &since = silentSince[member.address()];
    since = std::max(since, lastContactAt[member.identity()]);
    if (now - since < silenceTimeout) {
        return;
    }
    since = now;
    clients.reconnect(member.address());
}

} // namespace filbert
