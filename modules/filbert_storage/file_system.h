#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace filbert {

/** The few file operations that storage needs, so that tests can lose what was not synced.

    Names are relative to one data folder. A write is durable only after syncFile(), a new, renamed
    or removed name only after syncFolder().
*/
class file_system
{
public:
    virtual ~file_system() = default;

    virtual std::vector<std::string> list() = 0;
    virtual std::error_code read(const std::string &name, std::string *content) = 0;
    virtual std::error_code append(const std::string &name, std::string_view data) = 0;
    virtual std::error_code truncate(const std::string &name, std::uint64_t size) = 0;
    virtual std::error_code syncFile(const std::string &name) = 0;
    virtual std::error_code rename(const std::string &from, const std::string &to) = 0;
    virtual std::error_code remove(const std::string &name) = 0;
    virtual std::error_code syncFolder() = 0;
};

/** The real files of one folder, which is made if absent and locked against a second process.

    @param folder  path of the data folder
    @param error   FolderInUse or StorageFailed if there is no result
    @return the files, or nullptr
*/
std::unique_ptr<file_system> openDataFolder(const std::string &folder, std::error_code *error);

} // namespace filbert
