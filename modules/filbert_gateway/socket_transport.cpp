#include "socket_transport.h"

#include <utility>

namespace filbert {

socket_transport::socket_transport(event_loop &loop, zmq::context_t &context,
                                   const std::string &name, const curve_site &site,
                                   handler onMessage)
    : loop {loop}
    , context {context}
    , name {name}
    , site {site}
    , onMessage {std::move(onMessage)}
{
}

bool socket_transport::send(const std::string &address, const messages::envelope &envelope)
{
    prepare(address);
    return clients[address]->send(envelope.SerializeAsString());
}

void socket_transport::renew(const std::string &address)
{
    const auto client = clients.find(address);
    if (client != clients.end()) {
        client->second->reconnect();
    }
}

void socket_transport::prepare(const std::string &address)
{
    auto &client = clients[address];
    if (client) {
        return;
    }
    client =
        std::make_unique<message_client>(loop, context, name, address, site.clientKeys(address),
                                         [this, address](std::string &&text) {
                                             messages::envelope answer;
                                             if (answer.ParseFromString(text)) {
                                                 onMessage(address, answer);
                                             }
                                         });
}

} // namespace filbert
