#include "dealer_pool.h"

#include <utility>

namespace filbert {

dealer_pool::dealer_pool(event_loop &loop, zmq::context_t &context, const std::string &name,
                         const curve_site &site, message_handler onMessage)
    : loop {loop}
    , context {context}
    , name {name}
    , site {site}
    , onMessage {std::move(onMessage)}
{
}

message_client &dealer_pool::clientFor(const std::string &address)
{
    auto &client = clients[address];
    if (!client) {
        client = std::make_unique<message_client>(
            loop, context, name, address, site.clientKeys(address),
            [this, address](std::string &&text) { onMessage(address, std::move(text)); });
    }
    return *client;
}

bool dealer_pool::send(const std::string &address, const std::string &message)
{
    return clientFor(address).send(message);
}

void dealer_pool::reconnect(const std::string &address)
{
    clientFor(address).reconnect();
}

} // namespace filbert
