#include "file_system.h"

#include "filbert_core/filbert_core.h"

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <sys/file.h>
#include <unistd.h>

namespace filbert {

namespace {

std::error_code errorFromErrno()
{
    return errno == ENOSPC || errno == EDQUOT ? error_kind::DiskFull : error_kind::StorageFailed;
}

/** An open file descriptor, closed by the destructor. */
class open_file
{
public:
    open_file(const std::string &path, int flags)
        : descriptor {::open(path.c_str(), flags | O_CLOEXEC, 0640)}
    {
    }
    ~open_file()
    {
        if (descriptor >= 0) {
            ::close(descriptor);
        }
    }
    open_file(const open_file &) = delete;
    open_file &operator=(const open_file &) = delete;

    int fd() const { return descriptor; }

private:
    int descriptor;
};

class disk_file_system : public file_system
{
public:
    disk_file_system(const std::string &folder, std::error_code *error)
        : folder {folder + "/"}
        , lock {this->folder + "lock", O_RDWR | O_CREAT}
    {
        if (lock.fd() < 0) {
            *error = error_kind::StorageFailed;
        } else if (flock(lock.fd(), LOCK_EX | LOCK_NB) != 0) {
            *error = error_kind::FolderInUse;
        }
    }

    std::vector<std::string> list() override
    {
        std::vector<std::string> names;
        for (const auto &entry : std::filesystem::directory_iterator {folder}) {
            names.push_back(entry.path().filename().string());
        }
        return names;
    }

    std::error_code read(const std::string &name, std::string *content) override
    {
        std::ifstream stream {folder + name, std::ios::binary};
        if (!stream) {
            return error_kind::NotFound;
        }
        content->assign(std::istreambuf_iterator<char> {stream}, {});
        return stream.bad() ? std::error_code {error_kind::StorageFailed} : std::error_code {};
    }

    std::error_code append(const std::string &name, std::string_view data) override
    {
        const auto &file = fileForAppend(name);
        while (!data.empty()) {
            const auto written = ::write(file.fd(), data.data(), data.size());
            if (written < 0 && errno == EINTR) {
                continue;
            }
            if (written < 0) {
                return errorFromErrno();
            }
            data.remove_prefix(static_cast<std::size_t>(written));
        }
        return {};
    }

    std::error_code truncate(const std::string &name, std::uint64_t size) override
    {
        return ::truncate((folder + name).c_str(), static_cast<off_t>(size)) == 0
            ? std::error_code {}
            : errorFromErrno();
    }

    std::error_code syncFile(const std::string &name) override
    {
        return ::fdatasync(fileForAppend(name).fd()) == 0 ? std::error_code {} : errorFromErrno();
    }

    std::error_code rename(const std::string &from, const std::string &to) override
    {
        appendFiles.erase(from);
        return ::rename((folder + from).c_str(), (folder + to).c_str()) == 0 ? std::error_code {}
                                                                             : errorFromErrno();
    }

    std::error_code remove(const std::string &name) override
    {
        appendFiles.erase(name);
        return ::unlink((folder + name).c_str()) == 0 ? std::error_code {} : errorFromErrno();
    }

    std::error_code syncFolder() override
    {
        const open_file directory {folder, O_RDONLY | O_DIRECTORY};
        return directory.fd() >= 0 && ::fsync(directory.fd()) == 0 ? std::error_code {}
                                                                   : errorFromErrno();
    }

private:
    const open_file &fileForAppend(const std::string &name)
    {
        auto &file = appendFiles[name];
        if (!file) {
            file = std::make_unique<open_file>(folder + name, O_WRONLY | O_APPEND | O_CREAT);
        }
        return *file;
    }

    std::string folder;
    open_file lock;
    std::map<std::string, std::unique_ptr<open_file>> appendFiles;
};

} // namespace

std::unique_ptr<file_system> openDataFolder(const std::string &folder, std::error_code *error)
{
    std::error_code createError;
    std::filesystem::create_directories(folder, createError);
    if (createError) {
        *error = error_kind::StorageFailed;
        return nullptr;
    }
    auto files = std::make_unique<disk_file_system>(folder, error);
    return *error ? nullptr : std::move(files);
}

} // namespace filbert
