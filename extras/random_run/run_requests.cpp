#include "run_requests.h"

#include <map>
#include <utility>

namespace filbert {

generated_key cachedKey(const std::string &id)
{
    static std::map<std::string, generated_key> keys;
    if (!keys.contains(id)) {
        keys[id] = generateKey(id);
    }
    return keys[id];
}

http_request makeRequest(const std::string &method, const std::string &path,
                         const std::string &token, std::string body)
{
    http_request request;
    request.method = method;
    request.path = path;
    request.authorization = "Bearer " + token;
    request.body = std::move(body);
    return request;
}

} // namespace filbert
