#pragma once

/** @file
    Every message as protobuf: between processes, in the replicated log, and as HTTP bodies.

    The generated files are committed; scripts/generate_messages.sh makes them anew.
    Depends on: protobuf, nlohmann-json (a check that protobuf's reader does not make).
*/

#include "filbert.pb.h"
#include "json.h"
#include "work.pb.h"
