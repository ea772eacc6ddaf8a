#pragma once

#include "DatabaseServer.h"

#include <memory>
#include <string>

namespace almondlever::standin {

/** What a journal file contains: the last state and the log that remains after truncations. */
struct JournalContent {
    DurableState state;
    std::vector<LogEntry> entries;
};

/**
 * Append-only file with one JSON record in a line. Each record is handed to the kernel with write() before the call
 * returns, so that it outlives a kill of the process (not a loss of power).
 */
class FileJournal final : public Journal {
public:
    /** Opens or creates the file; throws std::system_error when that fails. Drops an incomplete record at its end. */
    explicit FileJournal(const std::string& path);
    ~FileJournal() override;
    FileJournal(const FileJournal&) = delete;
    FileJournal& operator=(const FileJournal&) = delete;

    /** Content found when the file was opened. */
    JournalContent takeContent() { return std::move(content_); }

    void recordState(const DurableState&) override;
    void recordEntries(const std::vector<LogEntry>&) override;
    void recordTruncation(std::uint64_t lastIndex) override;

private:
    void load(const std::string& path);
    void write(const std::string& text);

    int file_ = -1;
    JournalContent content_;
};

} // namespace almondlever::standin
