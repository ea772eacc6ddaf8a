#pragma once

#include "almondlever/transport/HttpServer.h"

#include <asio.hpp>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace almondlever::load::test {

/** A fault that the fake daemon makes on purpose. */
enum class PlantedFault {
    None,
    /** Acknowledges every twentieth write without keeping it. */
    LoseWrite,
    /** Answers every twentieth read with the value of another key. */
    CrossAnswer,
    /** Refuses every twentieth write as not run and keeps it. */
    FalseNotRun,
    /** Applies a repeat of an idempotency key again. */
    DoubleWrite,
    /** Keeps only the first write of each transaction. */
    HalveTransaction,
};

/** Answers callers like a daemon in front of one server per database, and for the server's log; on a thread of its own.
 */
class FakeDaemon {
public:
    explicit FakeDaemon(PlantedFault);
    ~FakeDaemon();
    FakeDaemon(const FakeDaemon&) = delete;
    FakeDaemon& operator=(const FakeDaemon&) = delete;

    const HttpAddress& address() const { return address_; }

private:
    using Values = std::map<std::string, std::string>;
    struct Transaction {
        std::string database;
        std::vector<std::pair<std::string, std::string>> writes;
    };

    struct LogEntry {
        std::uint64_t index;
        std::string key;
        std::string requestId;
    };

    void handle(const std::shared_ptr<HttpExchange>&);
    /** The log of the server "DATABASE-a", in the form of the stand-in's control interface. */
    HttpResponse describeLog(const std::string& endpoint);
    /** Applies a write and returns its index. */
    std::uint64_t apply(const std::string& database, const std::string& key, const std::string& value);
    HttpResponse answerStatement(const HttpExchange&, const std::string& database);
    HttpResponse answerWrite(
        const HttpExchange&, const std::string& database, const std::string& key, const std::string& value);
    HttpResponse answerRead(const std::string& database, const std::string& key);
    HttpResponse answerTransaction(const std::string& database, const std::vector<std::string>& path);

    PlantedFault fault_;
    asio::io_context context_;
    std::unique_ptr<HttpServer> server_;
    HttpAddress address_;
    std::map<std::string, Values> databases_;
    std::map<std::string, std::uint64_t> ends_;
    std::map<std::string, std::vector<LogEntry>> logs_;
    std::string requestId_;
    std::map<std::string, std::uint64_t> positionsByIdempotencyKey_;
    std::map<std::string, Transaction> transactions_;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t requests_ = 0;
    std::thread thread_;
};

} // namespace almondlever::load::test
