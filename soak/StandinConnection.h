#pragma once

#include "StandinGroup.h"
#include "WireStream.h"

namespace almondlever::soak {

/** A connection to a StandinEndpoint: one session with its values, prepared statements and transaction. */
class StandinConnection : public std::enable_shared_from_this<StandinConnection> {
public:
    StandinConnection(StandinGroup&, StandinEndpoint&, asio::ip::tcp::socket&&);

    void start();
    /** Ends the connection; a transaction that is open is rolled back. */
    void close();

private:
    void onMessage(std::string_view message);
    void takeNext();
    void handle(const std::string& id, std::string_view text);
    /** Waits for a slot and the work, then goes on. */
    void work(std::function<void()> then);
    /** The run holds only what the text says; the token is that of a write. */
    void runStatement(const std::string& id, bool isWrite, RunStatement run, const std::string& token);
    void runCommit(const std::string& id);
    void complete(const std::string& signature, const std::vector<std::string>& rows, bool mayBeLost);
    void fail(const std::string& error);
    void completeStatus();
    void finish(std::string text);
    std::string readyLine();
    /** Sends an answer; faults of the endpoint may repeat it or cut it off. */
    void answer(const std::string& text);
    void repeatLater(const std::string& text);
    bool leads() const { return group_.leads(endpoint_); }

    StandinGroup& group_;
    StandinEndpoint& endpoint_;
    std::shared_ptr<WireStream> stream_;
    asio::steady_timer timer_;
    std::uint64_t number_;
    bool isOpen_ = false;
    bool isClosed_ = false;
    bool isBusy_ = false;
    bool hasSlot_ = false;
    std::deque<std::string> waiting_;
    std::map<std::string, std::string> values_;
    std::map<std::string, PreparedShape> prepared_;
    /** 'I', 'T' or 'E' as on the wire. */
    char state_ = 'I';
    bool isReadOnly_ = false;
    /** Term in which the transaction began; a lost lead ends it. */
    Term term_ = 0;
    std::uint64_t transaction_ = 0;
    std::vector<std::string> written_;
};

} // namespace almondlever::soak
