#include "gateway_connection.h"

#include "filbert_transport/filbert_transport.h"

#include <gflags/gflags.h>

DEFINE_string(gateways, "127.0.0.1:7000", "IP:port of gateways, comma-separated");
DEFINE_string(key, "", "token of a key; better given as FILBERT_KEY than on the command line");
DEFINE_bool(tls, false, "speak TLS with gateways");
DEFINE_string(tls_trusted, "", "file of certificates to trust");
DEFINE_int32(timeout_ms, 15'000, "longest time for one answer");

namespace filbert {

gateway_answer askGateway(const std::string &method, const std::string &path,
                          const std::string &body, const std::vector<http_header> &headers)
{
    gateway_answer result;
    result.error = error_kind::ConnectionFailed;
    for (const auto &endpoint : splitList(FLAGS_gateways)) {
        event_loop loop;
        http_client client {loop, 1, FLAGS_tls, FLAGS_tls_trusted};
        http_call call;
        call.endpoint = endpoint;
        call.method = method;
        call.path = path;
        call.headers = headers;
        if (!FLAGS_key.empty()) {
            call.headers.push_back({"authorization", "Bearer " + FLAGS_key});
        }
        call.body = body;
        call.timeout = {FLAGS_timeout_ms};
        client.send(std::move(call), [&](std::error_code error, http_response &&answer) {
            result = {error, answer.status, std::move(answer.body)};
            loop.stop();
        });
        loop.run();
        const bool mayGoOn = result.error == error_kind::ConnectionFailed || method == "GET";
        if (!result.error || !mayGoOn) {
            return result;
        }
    }
    return result;
}

} // namespace filbert
