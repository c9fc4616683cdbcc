#include "log_store.h"

#include "filbert_core/filbert_core.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <xxhash.h>

namespace filbert {

namespace {

constexpr std::string_view formatLine = "filbert-data 1\n";
constexpr std::string_view identityFile = "identity";
constexpr std::string_view segmentPrefix = "log-";
constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr std::string_view temporarySnapshotFile = "snapshot.tmp";
constexpr std::uint32_t frameMagic = 0x66'62'6c'31; // "fbl1"
constexpr std::uint64_t segmentBytes = 16 << 20; // from this size on a new segment is started
constexpr std::uint32_t maxFrameBytes = 1 << 30;

// The numbers of the frames in a snapshot file: a header, then the chunks of the state, then an end
// mark. Early files of format 1 have a single frame with the whole state instead of chunks and end.
constexpr std::uint64_t snapshotHeaderFrame = 1;
constexpr std::uint64_t wholeStateFrame = 2;
constexpr std::uint64_t firstChunkFrame = 1ULL << 32;
constexpr std::uint64_t snapshotEndFrame = 1ULL << 33;
constexpr std::size_t snapshotChunkBytes = 1 << 20; // per chunk of saveSnapshot()

/** Precedes the payload of each frame, in the host's byte order; all supported hosts are little
    endian. */
struct frame_header
{
    std::uint32_t magic = frameMagic;
    std::uint32_t length = 0;
    std::uint64_t number = 0;
    std::uint64_t checksum = 0; // of the payload, seeded with the number
};

std::string makeFrame(std::uint64_t number, std::string_view payload)
{
    frame_header header;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.number = number;
    header.checksum = XXH64(payload.data(), payload.size(), number);
    std::string frame(sizeof header, '\0');
    std::memcpy(frame.data(), &header, sizeof header);
    frame.append(payload);
    return frame;
}

messages::stored_frame makeAppendFrame(std::uint64_t term, const std::string &votedFor,
                                       const std::vector<messages::log_entry> &entries)
{
    messages::stored_frame message;
    message.set_term(term);
    message.set_voted_for(votedFor);
    for (const auto &entry : entries) {
        *message.add_entries() = entry;
    }
    return message;
}

/** Reads a frame. @return whether there is a complete frame with a valid checksum at the offset */
bool readFrame(std::string_view content, std::size_t offset, frame_header *header,
               std::string_view *payload)
{
    if (content.size() - offset < sizeof *header) {
        return false;
    }
    std::memcpy(header, content.data() + offset, sizeof *header);
    if (header->magic != frameMagic || header->length > maxFrameBytes
        || content.size() - offset - sizeof *header < header->length) {
        return false;
    }
    *payload = content.substr(offset + sizeof *header, header->length);
    return XXH64(payload->data(), payload->size(), header->number) == header->checksum;
}

bool hasFrameAfter(std::string_view content, std::size_t offset)
{
    std::uint32_t magic = frameMagic;
    const std::string_view magicBytes {reinterpret_cast<const char *>(&magic), sizeof magic};
    frame_header header;
    std::string_view payload;
    for (auto position = content.find(magicBytes, offset + 1); position != std::string_view::npos;
         position = content.find(magicBytes, position + 1)) {
        if (readFrame(content, position, &header, &payload)) {
            return true;
        }
    }
    return false;
}

std::string numberedName(std::string_view prefix, std::uint64_t number)
{
    std::string digits = std::to_string(number);
    constexpr std::size_t width = 20;
    return std::string {prefix} + std::string(width - digits.size(), '0') + digits;
}

bool parseNumber(const std::string &name, std::string_view prefix, std::uint64_t *number)
{
    if (!name.starts_with(prefix)) {
        return false;
    }
    const char *end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data() + prefix.size(), end, *number);
    return parsed.ec == std::errc {} && parsed.ptr == end;
}

std::error_code reportDamage(storage_damage *damage, const std::string &file, std::uint64_t offset,
                             std::string description)
{
    *damage = {file, offset, std::move(description)};
    return error_kind::StorageDamaged;
}

void addEntry(stored_state *state, const messages::log_entry &entry)
{
    auto &entries = state->entries;
    while (!entries.empty() && entries.back().index() >= entry.index()) {
        entries.pop_back();
    }
    if (entry.index() > state->snapshot.index()) {
        entries.push_back(entry);
    }
}

} // namespace

log_store::log_store(file_system &files, sync_thread *background)
    : files {files}
    , background {background}
{
}

std::error_code log_store::initialise(const std::string &identity)
{
    const std::string name {identityFile};
    std::string content;
    if (!files.read(name, &content) && !content.empty()) {
        return error_kind::Conflict;
    }
    const std::string text = std::string {formatLine} + identity + "\n";
    if (const auto error = files.append(name, text)) {
        return error;
    }
    if (const auto error = files.syncFile(name)) {
        return error;
    }
    return files.syncFolder();
}

std::error_code log_store::open(stored_state *state, storage_damage *damage)
{
    std::string content;
    if (files.read(std::string {identityFile}, &content)) {
        return error_kind::NotFound;
    }
    if (!content.starts_with(formatLine) || !content.ends_with('\n')) {
        return reportDamage(damage, std::string {identityFile}, 0,
                            "unknown format of the data folder");
    }
    state->identity = content.substr(formatLine.size());
    state->identity.pop_back();
    if (const auto error = readSnapshot(state, damage)) {
        return error;
    }
    for (const auto &name : files.list()) {
        std::uint64_t number = 0;
        if (parseNumber(name, segmentPrefix, &number)) {
            segments.push_back({name, number, 0, 0});
        }
    }
    std::sort(segments.begin(), segments.end(),
              [](const segment &a, const segment &b) { return a.number < b.number; });
    for (std::size_t i = 0; i < segments.size(); ++i) {
        if (const auto error = readSegment(segments[i], i + 1 == segments.size(), state, damage)) {
            return error;
        }
    }
    const auto &entries = state->entries;
    if (!entries.empty() && entries.front().index() != state->snapshot.index() + 1) {
        return reportDamage(damage, segments.front().name, 0,
                            "log entries after the snapshot are missing");
    }
    term = state->term;
    votedFor = state->votedFor;
    return {};
}

std::error_code log_store::readSegment(segment &source, bool isLast, stored_state *state,
                                       storage_damage *damage)
{
    std::string content;
    if (const auto error = files.read(source.name, &content)) {
        return error;
    }
    std::size_t offset = 0;
    while (offset < content.size()) {
        frame_header header;
        std::string_view payload;
        const bool isValid = readFrame(content, offset, &header, &payload);
        if (!isValid && (!isLast || hasFrameAfter(content, offset))) {
            return reportDamage(damage, source.name, offset, "bad checksum before good frames");
        }
        if (!isValid) {
            state->truncatedBytes = content.size() - offset;
            if (const auto error = files.truncate(source.name, offset)) {
                return error;
            }
            if (const auto error = files.syncFile(source.name)) {
                return error;
            }
            break;
        }
        if (nextFrame != 1 && header.number != nextFrame) {
            return reportDamage(damage, source.name, offset, "a frame of the log is missing");
        }
        messages::stored_frame frame;
        if (!frame.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
            return reportDamage(damage, source.name, offset,
                                "the payload of a frame cannot be parsed");
        }
        nextFrame = header.number + 1;
        while (frame.drop_after() != 0 && !state->entries.empty()
               && state->entries.back().index() > frame.drop_after()) {
            state->entries.pop_back();
        }
        state->term = frame.term();
        state->votedFor = frame.voted_for();
        for (const auto &entry : frame.entries()) {
            addEntry(state, entry);
            source.lastIndex = std::max(source.lastIndex, entry.index());
        }
        offset += sizeof header + header.length;
    }
    source.bytes = offset;
    return {};
}

std::error_code log_store::readSnapshot(stored_state *state, storage_damage *damage)
{
    std::uint64_t newest = 0;
    for (const auto &name : files.list()) {
        std::uint64_t number = 0;
        if (parseNumber(name, snapshotPrefix, &number)) {
            newest = std::max(newest, number);
        }
    }
    if (newest == 0) {
        return {};
    }
    const auto name = numberedName(snapshotPrefix, newest);
    std::string content;
    if (const auto error = files.read(name, &content)) {
        return error;
    }
    frame_header header;
    std::string_view payload;
    if (!readFrame(content, 0, &header, &payload)) {
        return reportDamage(damage, name, 0, "invalid frame for the snapshot header");
    }
    if (!state->snapshot.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return reportDamage(damage, name, 0, "the snapshot header cannot be parsed");
    }
    std::size_t offset = 0;
    std::uint64_t chunks = 0;
    do {
        offset += sizeof header + header.length;
        if (!readFrame(content, offset, &header, &payload)) {
            return reportDamage(damage, name, offset, "invalid frame for the snapshot state");
        }
        const bool isChunk = header.number == firstChunkFrame + chunks;
        if (isChunk || header.number == wholeStateFrame) {
            state->snapshotData.append(payload);
            ++chunks;
        } else if (header.number != snapshotEndFrame) {
            return reportDamage(damage, name, offset, "a chunk of the snapshot state is missing");
        }
    } while (header.number != snapshotEndFrame && header.number != wholeStateFrame);
    return {};
}

std::error_code log_store::startSegment()
{
    const auto number = segments.empty() ? 1 : segments.back().number + 1;
    segments.push_back({numberedName(segmentPrefix, number), number, 0, 0});
    return {};
}

std::error_code log_store::append(std::uint64_t newTerm, const std::string &newVote,
                                  const std::vector<messages::log_entry> &entries)
{
    const auto error = writeAndSync(makeAppendFrame(newTerm, newVote, entries));
    if (!error) {
        term = newTerm;
        votedFor = newVote;
    }
    return error;
}

std::error_code log_store::startAppend(std::uint64_t newTerm, const std::string &newVote,
                                       const std::vector<messages::log_entry> &entries)
{
    FILBERT_INVARIANT(background != nullptr, "the store can sync in the background");
    if (const auto error = writeFrame(makeAppendFrame(newTerm, newVote, entries))) {
        return error;
    }
    term = newTerm;
    votedFor = newVote;
    background->start([this] { return syncLog(); });
    return {};
}

std::optional<std::error_code> log_store::takeSyncResult()
{
    return background != nullptr ? background->takeResult() : std::nullopt;
}

std::error_code log_store::truncateAfter(std::uint64_t index)
{
    messages::stored_frame message;
    message.set_term(term);
    message.set_voted_for(votedFor);
    message.set_drop_after(index);
    return writeAndSync(message);
}

std::error_code log_store::writeAndSync(const messages::stored_frame &message)
{
    const auto error = writeFrame(message);
    return error ? error : syncLog();
}

std::error_code log_store::writeFrame(const messages::stored_frame &message)
{
    if (segments.empty() || segments.back().bytes >= segmentBytes) {
        startSegment();
        mustSyncFolder = true;
    }
    auto &current = segments.back();
    const auto frame = makeFrame(nextFrame, message.SerializeAsString());
    if (const auto error = files.append(current.name, frame)) {
        // Removes the incomplete frame, so that no later frame follows it.
        const bool isTruncated = !files.truncate(current.name, current.bytes);
        return error == error_kind::DiskFull && isTruncated ? error : error_kind::StorageFailed;
    }
    ++nextFrame;
    current.bytes += frame.size();
    for (const auto &entry : message.entries()) {
        current.lastIndex = std::max(current.lastIndex, entry.index());
    }
    return {};
}

/** Syncs what writeFrame() has written. */
std::error_code log_store::syncLog()
{
    if (files.syncFile(segments.back().name) || (mustSyncFolder && files.syncFolder())) {
        return error_kind::StorageFailed; // after a failed sync the content of the disk is unknown
    }
    mustSyncFolder = false;
    return {};
}

std::error_code log_store::saveSnapshot(const messages::snapshot_header &header,
                                        std::string_view data)
{
    if (const auto error = startSnapshot(header)) {
        return error;
    }
    for (std::size_t offset = 0; offset < data.size(); offset += snapshotChunkBytes) {
        if (const auto error = addSnapshotChunk(data.substr(offset, snapshotChunkBytes))) {
            return error;
        }
    }
    return finishSnapshot();
}

std::error_code log_store::startSnapshot(const messages::snapshot_header &header)
{
    files.remove(std::string {temporarySnapshotFile});
    snapshotIndex = header.index();
    snapshotChunks = 0;
    return writeSnapshotFrame(snapshotHeaderFrame, header.SerializeAsString());
}

std::error_code log_store::addSnapshotChunk(std::string_view chunk)
{
    return writeSnapshotFrame(firstChunkFrame + snapshotChunks++, chunk);
}

std::error_code log_store::finishSnapshot()
{
    if (const auto error = writeSnapshotFrame(snapshotEndFrame, {})) {
        return error;
    }
    if (files.rename(std::string {temporarySnapshotFile},
                     numberedName(snapshotPrefix, snapshotIndex))
        || files.syncFolder()) {
        return error_kind::StorageFailed;
    }
    return removeCoveredSegments(snapshotIndex);
}

std::error_code log_store::writeSnapshotFrame(std::uint64_t number, std::string_view payload)
{
    const std::string temporary {temporarySnapshotFile};
    if (const auto error = files.append(temporary, makeFrame(number, payload))) {
        files.remove(temporary);
        return error;
    }
    return files.syncFile(temporary) ? std::error_code {error_kind::StorageFailed}
                                     : std::error_code {};
}

std::error_code log_store::removeCoveredSegments(std::uint64_t index)
{
    for (const auto &name : files.list()) {
        std::uint64_t number = 0;
        if (parseNumber(name, snapshotPrefix, &number) && number < index) {
            files.remove(name);
        }
    }
    // The newest segment is kept because it holds the term and the vote.
    while (segments.size() > 1 && segments.front().lastIndex <= index) {
        files.remove(segments.front().name);
        segments.erase(segments.begin());
    }
    return files.syncFolder() ? std::error_code {error_kind::StorageFailed} : std::error_code {};
}

std::uint64_t log_store::logBytes() const
{
    std::uint64_t bytes = 0;
    for (const auto &each : segments) {
        bytes += each.bytes;
    }
    return bytes;
}

} // namespace filbert
