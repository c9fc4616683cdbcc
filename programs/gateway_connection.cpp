#include "gateway_connection.h"

#include "filbert_transport/filbert_transport.h"

#include <gflags/gflags.h>

DEFINE_string(gateways, "127.0.0.1:7000", "comma-separated list of gateways, each IP:port");
DEFINE_string(key, "", "access token; set FILBERT_KEY rather than passing it on the command line");
DEFINE_bool(tls, false, "use TLS for connections to gateways");
DEFINE_string(tls_trusted, "", "file with the certificates to trust");
DEFINE_int32(timeout_ms, 15'000, "timeout of a request, in milliseconds");

namespace filbert {

gateway_response sendRequest(const std::string &method, const std::string &path,
                             const std::string &body, const std::vector<http_header> &headers)
{
    gateway_response result;
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
        client.send(std::move(call), [&](std::error_code error, http_response &&response) {
            result = {error, response.status, std::move(response.body)};
            loop.stop();
        });
        loop.run();
        const bool canTryNext = result.error == error_kind::ConnectionFailed || method == "GET";
        if (!result.error || !canTryNext) {
            return result;
        }
    }
    return result;
}

} // namespace filbert
