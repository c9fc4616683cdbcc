#include "run_requests.h"

#include <map>
#include <utility>

namespace filbert {

generated_key fixedKey(const std::string &id)
{
    static std::map<std::string, generated_key> made;
    if (!made.contains(id)) {
        made[id] = generateKey(id);
    }
    return made[id];
}

http_request requestOf(const std::string &method, const std::string &path, const std::string &token,
                       std::string body)
{
    http_request request;
    request.method = method;
    request.path = path;
    request.authorization = "Bearer " + token;
    request.body = std::move(body);
    return request;
}

} // namespace filbert
