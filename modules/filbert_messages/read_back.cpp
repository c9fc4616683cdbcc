#include "read_back.h"

#include <memory>

namespace filbert {

bool canBeReadBack(const google::protobuf::MessageLite &message)
{
    const std::unique_ptr<google::protobuf::MessageLite> copy {message.New()};
    return copy->ParseFromString(message.SerializeAsString());
}

} // namespace filbert
