#include "HistoryBuilder.h"
#include "load/HistoryFile.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <unistd.h>

using namespace almondlever;
using namespace almondlever::load;
using namespace almondlever::load::test;

namespace {

/** A path of this process in the folder for temporary files; the file is removed at the end. */
class TemporaryFile {
public:
    TemporaryFile()
        : path("/tmp/almondlever-test-load-" + std::to_string(getpid()))
    {
    }
    ~TemporaryFile() { std::remove(path.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    const std::string path;
};

} // namespace

// Guards against a history file that drops what the checker needs: a re-check must find what the run found.
Test(HistoryFile, keepsWhatTheCheckerNeeds)
{
    HistoryBuilder built;
    Operation& write = built.write("clerk", "a", "a1", { 2, 5 });
    write.idempotencyKey = "k1";
    write.isDuplicate = true;
    write.isFromReplica = true;
    write.retryAfter = Milliseconds(250);
    built.inTransaction(OperationType::Commit, "t1", "", "", { 2, 6 });
    built.log({ 2, 5 }, "a", "request-1");
    const TemporaryFile file;
    {
        HistoryWriter writer(file.path);
        for (const Operation& operation : built.history.operations)
            writer.write(operation);
        writer.write(built.history.logs.front());
        writer.write(FaultRecord { "SIGKILL to vm-1", Microseconds(7), "lots", "" });
        cr_assert(writer.isGood());
    }
    const auto read = readHistory(file.path);
    cr_assert(read.hasValue());
    const Operation& operation = read.value().operations.front();
    cr_assert(operation.value == write.value);
    cr_assert(operation.position == write.position);
    cr_assert(operation.idempotencyKey == write.idempotencyKey);
    cr_assert(operation.isDuplicate && operation.isAcknowledged && operation.isTokenSent && operation.isFromReplica);
    cr_assert(operation.sentAt == write.sentAt && operation.answeredAt == write.answeredAt);
    cr_assert(operation.requestId == write.requestId && operation.retryAfter == write.retryAfter);
    cr_assert(read.value().operations.back().transaction == std::string("t1"));
    cr_assert(read.value().logs.front().entries.front().position == LogPosition({ 2, 5 }));
    cr_assert(read.value().faults.front().at == Microseconds(7));
}

// Guards against a cut history passing as a complete one.
Test(HistoryFile, reportsBrokenLine)
{
    const TemporaryFile file;
    std::ofstream(file.path) << "{\"record\":\"operation\",\"number\":1\n";
    const auto read = readHistory(file.path);
    cr_assert(!read.hasValue());
    cr_assert(read.error().front().line == 1);
}
