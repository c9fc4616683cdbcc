#pragma once

/** @file
    What operators intend: reading and checking YAML, versions as sets of named parts, deltas,
    digests, keys.

    Depends on: filbert_core, filbert_messages, yaml-cpp, libsodium.
*/

#include "access_keys.h"
#include "cell_configuration.h"
#include "configuration_reader.h"
