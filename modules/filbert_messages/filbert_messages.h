#pragma once

/** @file
    All data formats of the product, defined with Protocol Buffers: the messages between processes,
    the entries of the replicated log with its snapshots, and the bodies of HTTP requests and
    responses, which are converted from and to JSON by readJson() and writeJson(). canBeReadBack()
    finds messages that their receivers could not parse.

    The generated files are committed; scripts/generate_messages.sh regenerates them.
    Depends on: protobuf, nlohmann-json (it detects repeated fields, which protobuf's JSON parser
    accepts).
*/

#include "filbert.pb.h"
#include "json.h"
#include "read_back.h"
#include "work.pb.h"
