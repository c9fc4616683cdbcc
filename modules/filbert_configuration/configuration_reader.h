#pragma once

#include "cell_configuration.h"

#include <string>
#include <vector>

namespace filbert {

/** Reads YAML files that together describe the whole intended configuration, and validates it.

    Each problem states its file, line and field, and what was expected there. Unknown and duplicate
    fields are problems too.

    @param paths          the files, in any order
    @param configuration  receives what was read; complete only on success
    @param problems       receives all problems; empty on success
    @return Malformed if there are problems
*/
std::error_code readConfiguration(const std::vector<std::string> &paths,
                                  messages::configuration *configuration,
                                  std::vector<configuration_problem> *problems);

/** Like readConfiguration(), for text in memory. @param name stands for the file in problems */
std::error_code readConfigurationText(const std::string &name, const std::string &text,
                                      messages::configuration *configuration,
                                      std::vector<configuration_problem> *problems);

} // namespace filbert
