#pragma once

/** @file
    The configuration of a cell: its teams, queues, services and principals, and their access keys.

    - Operators write the intended configuration in YAML files, which are read and validated as a
      whole.
    - A configuration is stored and compared as a set of items: serialized messages by keys such as
      "team/orders". A change from one version to the next consists of the items that were set or
      removed, and equal sets have equal digests.
    - A principal is an operator or a target. Access keys authenticate teams and principals; the
      configuration holds only their salted hashes.

    Depends on: filbert_core, filbert_messages, yaml-cpp, libsodium.
*/

#include "access_keys.h"
#include "cell_configuration.h"
#include "configuration_reader.h"
