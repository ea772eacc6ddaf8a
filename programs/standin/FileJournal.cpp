#include "FileJournal.h"

#include "ReplicationCodec.h"

#include <cerrno>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <system_error>
#include <unistd.h>

namespace almondlever::standin {

namespace {

    using Json = nlohmann::json;

    Json encodeState(const DurableState& state)
    {
        return { { "promised_term", state.promisedTerm }, { "proposer", state.proposer.text() },
            { "primary_term", state.primaryTerm }, { "following", state.following.text() },
            { "following_address", state.followingAddress }, { "claim_epoch", state.claim.epoch },
            { "claim_owner", state.claim.owner.text() } };
    }

    DurableState decodeState(const Json& body)
    {
        DurableState state;
        state.promisedTerm = body.at("promised_term");
        state.proposer = VmId(body.at("proposer").get<std::string>());
        state.primaryTerm = body.at("primary_term");
        state.following = EndpointId(body.at("following").get<std::string>());
        state.followingAddress = body.at("following_address");
        state.claim = { body.at("claim_epoch").get<std::uint64_t>(), VmId(body.at("claim_owner").get<std::string>()) };
        return state;
    }

    void replay(const Json& record, JournalContent& content)
    {
        if (record.contains("state"))
            content.state = decodeState(record["state"]);
        if (record.contains("truncate"))
            content.entries.resize(record["truncate"].get<std::size_t>());
        if (record.contains("entries")) {
            for (const Json& entry : record["entries"])
                content.entries.push_back(decodeEntry(entry));
        }
    }

} // namespace

FileJournal::FileJournal(const std::string& path)
{
    load(path);
    file_ = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    if (file_ < 0)
        throw std::system_error(errno, std::generic_category(), "cannot open " + path);
}

FileJournal::~FileJournal() { ::close(file_); }

void FileJournal::load(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return;
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::size_t begin = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
        replay(Json::parse(
                   text.begin() + static_cast<std::ptrdiff_t>(begin), text.begin() + static_cast<std::ptrdiff_t>(end)),
            content_);
        begin = end + 1;
    }
    // A kill during write() can leave the beginning of a record, which no request was answered for.
    if (begin < text.size() && ::truncate(path.c_str(), static_cast<off_t>(begin)) != 0)
        throw std::system_error(errno, std::generic_category(), "cannot cut " + path);
}

void FileJournal::recordState(const DurableState& state) { write(Json { { "state", encodeState(state) } }.dump()); }

void FileJournal::recordEntries(const std::vector<LogEntry>& entries)
{
    Json list = Json::array();
    for (const LogEntry& entry : entries)
        list.push_back(encodeEntry(entry));
    write(Json { { "entries", list } }.dump());
}

void FileJournal::recordTruncation(std::uint64_t lastIndex) { write(Json { { "truncate", lastIndex } }.dump()); }

void FileJournal::write(const std::string& text)
{
    const std::string line = text + '\n';
    std::size_t written = 0;
    while (written < line.size()) {
        const ssize_t size = ::write(file_, line.data() + written, line.size() - written);
        if (size < 0 && errno == EINTR)
            continue;
        if (size < 0)
            throw std::system_error(errno, std::generic_category(), "cannot write the journal");
        written += static_cast<std::size_t>(size);
    }
}

} // namespace almondlever::standin
