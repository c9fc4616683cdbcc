#pragma once

#include "filbert_core/filbert_core.h"
#include "filbert_storage/filbert_storage.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace filbert {

/** Files in memory. crash() simulates a power failure, which loses data that was not synced and
    tears the last write. */
class fake_file_system : public file_system
{
public:
    std::vector<std::string> list() override
    {
        std::vector<std::string> names;
        for (const auto &[name, file] : live) {
            names.push_back(name);
        }
        return names;
    }

    std::error_code read(const std::string &name, std::string *content) override
    {
        const auto found = live.find(name);
        if (found == live.end()) {
            return error_kind::NotFound;
        }
        *content = found->second->content;
        return {};
    }

    std::error_code append(const std::string &name, std::string_view data) override
    {
        if (bytes() + data.size() > capacity) {
            return error_kind::DiskFull;
        }
        open(name).content.append(data);
        return {};
    }

    std::error_code truncate(const std::string &name, std::uint64_t size) override
    {
        auto &file = open(name);
        file.content.resize(size);
        file.synced = std::min<std::size_t>(file.synced, size);
        return {};
    }

    std::error_code syncFile(const std::string &name) override
    {
        ++syncs;
        if (failSyncAt != 0 && syncs >= failSyncAt) {
            return error_kind::StorageFailed;
        }
        auto &file = open(name);
        if (!skipsSync) {
            file.synced = file.content.size();
        }
        return {};
    }

    std::error_code rename(const std::string &from, const std::string &to) override
    {
        live[to] = live.at(from);
        live.erase(from);
        return {};
    }

    std::error_code remove(const std::string &name) override
    {
        return live.erase(name) > 0 ? std::error_code {} : error_kind::NotFound;
    }

    std::error_code syncFolder() override
    {
        if (!skipsSync) {
            durable = live;
        }
        return {};
    }

    /** Simulates a power failure: file names and bytes that were not synced may be lost, in whole
        or in part, and the last byte of a partly written file may be wrong. */
    void crash(std::mt19937_64 &random)
    {
        if (random() % 2 == 0) {
            live = durable;
        }
        for (auto &[name, file] : live) {
            const auto unsynced = file->content.size() - file->synced;
            file->content.resize(file->synced + (unsynced > 0 ? random() % (unsynced + 1) : 0));
            if (unsynced > 0 && file->content.size() > file->synced && random() % 4 == 0) {
                file->content.back() ^= 0x55;
            }
            file->synced = file->content.size();
        }
        durable = live;
    }

    /** Simulates the replacement of the disk by an empty one. */
    void wipe()
    {
        live.clear();
        durable.clear();
    }

    std::size_t bytes() const
    {
        std::size_t sum = 0;
        for (const auto &[name, file] : live) {
            sum += file->content.size();
        }
        return sum;
    }

    std::string &contentOf(const std::string &name) { return live.at(name)->content; }

    std::size_t capacity = SIZE_MAX;
    std::uint64_t syncs = 0;
    std::uint64_t failSyncAt = 0; // syncs fail from this one on; 0 = none
    bool skipsSync = false; // whether syncs report success without making anything durable

private:
    struct file
    {
        std::string content;
        std::size_t synced = 0; // durable bytes from the start of the content
    };

    file &open(const std::string &name)
    {
        auto &found = live[name];
        if (!found) {
            found = std::make_shared<file>();
        }
        return *found;
    }

    std::map<std::string, std::shared_ptr<file>> live; // the names that the process sees
    std::map<std::string, std::shared_ptr<file>> durable; // the names that a crash cannot lose
};

} // namespace filbert
