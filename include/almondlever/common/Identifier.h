#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace almondlever {

/**
 * A strongly typed identifier: a VM id cannot be passed where a caller id is expected. Ordered and hashed by its text.
 */
template <typename Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string text)
        : text_(std::move(text))
    {
    }

    const std::string& text() const { return text_; }
    bool isEmpty() const { return text_.empty(); }

    friend bool operator==(const Identifier& left, const Identifier& right) { return left.text_ == right.text_; }
    friend bool operator!=(const Identifier& left, const Identifier& right) { return left.text_ != right.text_; }
    friend bool operator<(const Identifier& left, const Identifier& right) { return left.text_ < right.text_; }
    friend std::ostream& operator<<(std::ostream& stream, const Identifier& id) { return stream << id.text_; }

private:
    std::string text_;
};

/** A machine that runs almondleverd or an endpoint. Never reused after the VM is removed. */
using VmId = Identifier<struct VmIdTag>;
/** One server of a database group. */
using EndpointId = Identifier<struct EndpointIdTag>;
/** One database, served by a group of endpoints. */
using DatabaseId = Identifier<struct DatabaseIdTag>;
/** One customer application that sends statements. */
using CallerId = Identifier<struct CallerIdTag>;
/** An organisation whose callers share API keys and a rate limit. */
using CustomerId = Identifier<struct CustomerIdTag>;
/** A zone whose VMs can fail together. */
using FailureDomainId = Identifier<struct FailureDomainIdTag>;
/** A region; contains one or more failure domains. */
using RegionId = Identifier<struct RegionIdTag>;
/** Identifies one request in the log of a database group; equal for repeats with the same Idempotency-Key. */
using RequestId = Identifier<struct RequestIdTag>;
/** An open interactive transaction; contains the VM that serves it. */
using TransactionId = Identifier<struct TransactionIdTag>;
/** Name of a priority rank in the rules. */
using RankName = Identifier<struct RankNameTag>;

} // namespace almondlever

namespace std {
template <typename Tag> struct hash<almondlever::Identifier<Tag>> {
    size_t operator()(const almondlever::Identifier<Tag>& id) const noexcept { return hash<string> {}(id.text()); }
};
} // namespace std
