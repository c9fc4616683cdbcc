#pragma once

/** @file
    Every message as protobuf: between processes, in the replicated log, and as HTTP bodies.

    The generated files are committed; scripts/generate_messages.sh makes them anew.
    Depends on: protobuf.
*/

#include "filbert.pb.h"
#include "json.h"
