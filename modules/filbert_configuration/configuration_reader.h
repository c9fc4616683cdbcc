#pragma once

#include "cell_configuration.h"

#include <string>
#include <vector>

namespace filbert {

/** Reads operators' YAML files, which together describe the whole intended state.

    Every problem is named with file, line, field and what was expected; unknown and doubled fields
    are problems.

    @param paths     files, in any order
    @param whole     filled in
    @param problems  all that is wrong; empty on success
    @return Malformed if anything is wrong
*/
std::error_code readConfiguration(const std::vector<std::string> &paths,
                                  messages::configuration *whole,
                                  std::vector<configuration_problem> *problems);

/** The same for a text that has been read already. @param name stands for the file in problems */
std::error_code readConfigurationText(const std::string &name, const std::string &text,
                                      messages::configuration *whole,
                                      std::vector<configuration_problem> *problems);

} // namespace filbert
