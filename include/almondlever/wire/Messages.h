#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Outcome.h"
#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"
#include "almondlever/endpoints/EndpointMessages.h"
#include "almondlever/failover/FailoverCoordinator.h"
#include "almondlever/failover/FailureConfirmation.h"
#include "almondlever/sessions/Routing.h"
#include "almondlever/sessions/SessionContents.h"
#include "almondlever/sessions/Statement.h"
#include "almondlever/store/MetadataStore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace almondlever {

/** Version of the messages; a peer with another version is refused in the handshake. */
inline constexpr int wireVersion = 1;

/** Largest message accepted from a peer. */
inline constexpr std::size_t maximumMessageBytes = 1024 * 1024;

/** What a forwarded request asks for. */
enum class ForwardKind {
    Statement,
    Begin,
    Commit,
    Rollback,
};

/** A caller's request on its way from the entry daemon to the owner of an endpoint. */
struct ForwardRequest {
    /** Number that the sender gives; the reply repeats it. */
    std::uint64_t correlation = 0;
    ForwardKind kind = ForwardKind::Statement;
    RequestId requestId;
    CallerId caller;
    DatabaseId database;
    EndpointId endpoint;
    /** Index of the rank. */
    std::size_t rank = 0;
    OperationKind operation = OperationKind::Read;
    std::string key;
    std::string value;
    TransactionId transaction;
    /** True when the request may be sent to an endpoint again after a lost answer. */
    bool isRepeatable = false;
    /** Time left until the deadline when the message was sent. */
    Milliseconds timeLeft { 0 };
    LogPosition minimumPosition;
    std::optional<Milliseconds> maximumStaleness;
    /** True when a read must come from a primary whose leadership is confirmed after the read arrived. */
    bool needsConfirmedLeadership = false;
    std::string traceparent;
};

/** Why a forwarded request failed. */
enum class ForwardErrorCode {
    /** The daemon does not own the endpoint. */
    NotOwner,
    /** The endpoint is not the primary; the hint names it when known. */
    NotPrimary,
    /** The endpoint has not reached the position or is too stale. */
    Behind,
    /** Refused by the queue. */
    Overloaded,
    /** The deadline cannot be met or has passed. */
    DeadlineExceeded,
    /** The endpoint cannot be reached. */
    EndpointUnavailable,
    TransactionLost,
    /** A majority did not confirm the write in time. */
    NotConfirmed,
    ShuttingDown,
    Rejected,
};

/** Stable text for answers and logs, such as "not_owner". */
const char* toText(ForwardErrorCode);

struct ForwardError {
    ForwardErrorCode code = ForwardErrorCode::EndpointUnavailable;
    Outcome outcome = Outcome::Unknown;
    std::string detail;
    Milliseconds retryAfter { 0 };
    /** Primary as the owner knows it; empty when unknown. */
    PrimaryView primary;
};

/** Answer to a request that ran. */
struct ForwardSuccess {
    LogPosition position;
    std::optional<std::string> value;
    TransactionId transaction;
    bool isDuplicate = false;
    bool isFromReplica = false;
    Milliseconds staleness { 0 };
};

struct ForwardReply {
    std::uint64_t correlation = 0;
    std::variant<ForwardSuccess, ForwardError> result;
    /** Wait that the owner expects for a new request by rank; entry daemons refuse early by it. */
    std::vector<Milliseconds> expectedWait;
    /** End of the endpoint's log as last seen by its owner. */
    LogPosition endpointPosition;
    Milliseconds endpointStaleness { 0 };
};

/** State of one daemon as spread by gossip. */
struct MemberRecord {
    enum class State {
        Alive,
        Suspect,
        Dead,
        Leaving,
    };
    VmId id;
    FailureDomainId failureDomain;
    std::string peerAddress;
    State state = State::Alive;
    /** Raised by the member itself to refute a suspicion. */
    std::uint64_t incarnation = 0;
};

/** Probe, answer to a probe, or request to probe on behalf of another. Carries news. */
struct Gossip {
    enum class Kind {
        Ping,
        Ack,
        /** Asks the receiver to ping the target and pass its answer on. */
        PingRequest,
        /** Asks for the records of all members whose id follows the target; sent by a joining daemon. */
        StateRequest,
        /** Next records by id in answer to a StateRequest, whose target it repeats; no records mean the end. */
        StateReply,
    };
    Kind kind = Kind::Ping;
    /** Repeated by the Ack. A Ping with sequence zero only carries news and is not answered. */
    std::uint64_t sequence = 0;
    /** Target of a PingRequest, or the member whose answer an Ack passes on. */
    VmId target;
    std::vector<MemberRecord> records;
    std::uint64_t configurationVersion = 0;
    /** Version of the VM list as numbered by the watchers; the newer list is fetched like a configuration. */
    std::uint64_t vmListVersion = 0;
    /** True when leavingVms is the set of vmListVersion; false when the set was left out. */
    bool hasLeavingVms = false;
    /** Endpoint VMs and daemons that the platform's list shows as leaving; sent only when the receiver's version is
     * older. */
    std::vector<VmId> leavingVms;
};

/** Asks for the configuration when the peer has a newer version than the known one. */
struct ConfigRequest {
    std::uint64_t knownVersion = 0;
    /** Index of the wanted chunk, counted from 0. */
    std::size_t chunk = 0;
    /** True when the answer may be a patch of the known version. */
    bool acceptsPatch = false;
};

/** Tells that the bytes replace the middle of an older version, whose start and end are kept. */
struct ConfigPatch {
    std::uint64_t baseVersion = 0;
    /** Bytes kept at the start and at the end of the base. */
    std::size_t keptAtStart = 0;
    std::size_t keptAtEnd = 0;
    /** SHA-256 of the whole result, 32 bytes. */
    std::string sha256;
};

/** One chunk of a configuration as it is stored. */
struct ConfigReply {
    std::uint64_t version = 0;
    std::size_t chunk = 0;
    std::size_t chunkCount = 0;
    std::string bytes;
    /** Set only in the single chunk of a patch. */
    std::optional<ConfigPatch> patch = std::nullopt;
};

/** A statement of a session on its way from the daemon of the caller to one that keeps connections to the group. */
struct SessionStatement {
    /** Number that the sender gives; the answer repeats it. */
    std::uint64_t correlation = 0;
    Statement statement;
    GroupId group;
    std::size_t rank = 0;
    /** Time left until the deadline when the message was sent. */
    Milliseconds timeLeft { 0 };
    bool isWrite = false;
    bool needsPrimary = false;
    bool opensTransaction = false;
    bool isReadOnlyTransaction = false;
    /** Oldest state that the statement may see, counted from its arrival at the receiver. */
    Milliseconds maximumStaleness { 0 };
    /** Position of the session's own commits. */
    std::optional<LogPosition> sessionPosition;
    /** Values of the session, and the shape that the statement executes under the statement's name. */
    SessionContents contents;
    /** Number of the open transaction at the receiver; 0 outside of one. */
    std::uint64_t transaction = 0;
};

/** How a SessionStatement ended. */
struct SessionAnswer {
    std::uint64_t correlation = 0;
    Reply reply;
    /** Number of the transaction that stays open; 0 when none does. */
    std::uint64_t transaction = 0;
    EndpointId endpoint;
    std::size_t attempts = 0;
};

/** Rolls an open transaction back. */
struct SessionTransactionEnd {
    std::uint64_t transaction = 0;
};

/** The caller of a statement has left. */
struct SessionAbandon {
    std::uint64_t correlation = 0;
};

/** Asks a watcher for what it knows of the platform's store. */
struct StoreNewsRequest {
    /** A prefix of keys with the revision up to which the sender knows them; 0 when it knows nothing. */
    struct Known {
        std::string prefix;
        std::uint64_t revision = 0;
    };
    std::vector<Known> known;
};

/** What a watcher knows of the keys with one prefix, beyond the revision of the request. */
struct StoreNews {
    std::string prefix;
    /** Everything up to this revision of the store is known. */
    std::uint64_t revision = 0;
    /** All keys with the prefix are listed; others do not exist. Else only changes are. */
    bool isSnapshot = false;
    /** Time since the store last confirmed it. */
    Milliseconds age { 0 };
    std::vector<StoreItem> items;
};

/** Asks another owner of a group whether it has answers of the group's primary. */
struct PrimaryDoubt {
    /** Repeated in the answer. */
    std::uint64_t number = 0;
    GroupId group;
    EndpointId primary;
    /** The sender has had no answer for this long; a time point would need equal clocks. */
    Milliseconds silentFor { 0 };
};

/** Answer to PrimaryDoubt. */
struct PrimaryDoubtAnswer {
    std::uint64_t number = 0;
    PrimaryOpinion opinion = PrimaryOpinion::Unknown;
};

/** Asks a daemon that holds forwarded statements whether it is alive. */
struct OwnerQuestion { };

/** Answer to OwnerQuestion, sent at once. */
struct OwnerAlive { };

using Message = std::variant<ForwardRequest, ForwardReply, Gossip, ConfigRequest, ConfigReply, SuspicionReport,
    PrimaryView, SessionStatement, SessionAnswer, SessionTransactionEnd, SessionAbandon, StoreNewsRequest, StoreNews,
    PrimaryDoubt, PrimaryDoubtAnswer, OwnerQuestion, OwnerAlive>;

/** CBOR of a message. */
std::string encodeMessage(const Message&);
/** Reads a message; the error says what is malformed. Never throws. */
Result<Message, std::string> decodeMessage(const std::string& bytes);

} // namespace almondlever
