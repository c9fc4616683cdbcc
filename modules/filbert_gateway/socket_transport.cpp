#include "socket_transport.h"

#include <utility>

namespace filbert {

socket_transport::socket_transport(event_loop &loop, zmq::context_t &context,
                                   const std::string &name, const curve_site &site,
                                   handler onMessage, std::function<void()> onUnreadable)
    : connections {
        loop, context, name, site,
        [onMessage = std::move(onMessage), onUnreadable = std::move(onUnreadable),
         limit = event_limit {}](const std::string &address, std::string &&text) mutable {
            messages::envelope answer;
            if (answer.ParseFromString(text)) {
                onMessage(address, answer);
                return;
            }
            onUnreadable();
            if (const auto leftOut = limit.admit(monotonicNow())) {
                log_line {"message_unreadable", log_line::severity::Warning}
                    .with("peer", address)
                    .with("bytes", text.size())
                    .with("left_out", *leftOut);
            }
        }}
{
}

bool socket_transport::send(const std::string &address, const messages::envelope &envelope)
{
    return connections.send(address, envelope.SerializeAsString());
}

void socket_transport::reconnect(const std::string &address)
{
    connections.reconnect(address);
}

void socket_transport::connect(const std::string &address)
{
    connections.connect(address);
}

} // namespace filbert
