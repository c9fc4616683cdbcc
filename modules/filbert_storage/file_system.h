#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace filbert {

/** The file operations that storage needs. Tests implement them in memory to simulate the loss of
    data that was not synced.

    Names are relative to one data folder. A write is durable only after syncFile(). A created,
    renamed or removed file is durable only after syncFolder().
*/
class file_system
{
public:
    virtual ~file_system() = default;

    virtual std::vector<std::string> list() = 0;
    /** Reads a whole file. @return NotFound if it does not exist, or StorageFailed */
    virtual std::error_code read(const std::string &name, std::string *content) = 0;
    /** Appends to a file, which is created if it does not exist.
        @return DiskFull or StorageFailed; part of the data may have been written then */
    virtual std::error_code append(const std::string &name, std::string_view data) = 0;
    virtual std::error_code truncate(const std::string &name, std::uint64_t size) = 0;
    virtual std::error_code syncFile(const std::string &name) = 0;
    virtual std::error_code rename(const std::string &from, const std::string &to) = 0;
    virtual std::error_code remove(const std::string &name) = 0;
    virtual std::error_code syncFolder() = 0;
};

/** Opens a data folder on disk. Creates it if it does not exist and locks it, so that no second
    process can open it.

    @param folder  path of the data folder
    @param error   set to FolderInUse or StorageFailed on failure
    @return the files, or nullptr on failure
*/
std::unique_ptr<file_system> openDataFolder(const std::string &folder, std::error_code *error);

} // namespace filbert
