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
#include "almondlever/wire/GroupReport.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace almondlever {

/** Version of the message format; the handshake refuses a peer with another version. */
inline constexpr int wireVersion = 1;

/** Largest message accepted from a peer. */
inline constexpr std::size_t maximumMessageBytes = 1024 * 1024;

/** Operation of a forwarded request. */
enum class ForwardKind {
    Statement,
    Begin,
    Commit,
    Rollback,
};

/** A caller's request on its way from the entry daemon to the owner of an endpoint. */
struct ForwardRequest {
    /** Chosen by the sender and repeated in the reply. */
    std::uint64_t correlation = 0;
    ForwardKind kind = ForwardKind::Statement;
    RequestId requestId;
    CallerId caller;
    DatabaseId database;
    EndpointId endpoint;
    /** Index of the priority rank in the configuration. */
    std::size_t rank = 0;
    OperationKind operation = OperationKind::Read;
    std::string key;
    std::string value;
    TransactionId transaction;
    /** True when the request may be sent to an endpoint again if its answer is lost. */
    bool isRepeatable = false;
    /** Time left until the deadline when the message was sent. */
    Milliseconds timeLeft { 0 };
    /** Position that a replica must have reached before it runs the request. */
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
    /** The admission queue refused the request. */
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

/** Stable identifier for answers and logs, such as "not_owner". */
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
    /** Wait that the owner expects for a new request, by rank; entry daemons refuse requests early based on it. */
    std::vector<Milliseconds> expectedWait;
    /** End of the endpoint's replication log as last seen by its owner. */
    LogPosition endpointPosition;
    Milliseconds endpointStaleness { 0 };
};

/** Membership state of one daemon, disseminated by gossip. */
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
    /** Incremented by the member itself to refute a suspicion. */
    std::uint64_t incarnation = 0;
};

/** Probe, answer to a probe, or request to probe on behalf of another daemon. Piggybacks membership updates. */
struct Gossip {
    enum class Kind {
        Ping,
        Ack,
        /** Asks the receiver to ping the target and relay its Ack. */
        PingRequest,
        /** Asks for the records of all members whose id follows the target; sent by a joining daemon. */
        StateRequest,
        /** Next records by id in answer to a StateRequest, whose target it repeats; no records mean the end. */
        StateReply,
    };
    Kind kind = Kind::Ping;
    /** Repeated by the Ack. A Ping with sequence zero only carries membership updates and is not answered. */
    std::uint64_t sequence = 0;
    /** Target of a PingRequest, or the member whose answer an Ack relays. */
    VmId target;
    std::vector<MemberRecord> records;
    std::uint64_t configurationVersion = 0;
    /** Version of the set of leaving VMs, assigned by the daemons that watch the platform's VM list. */
    std::uint64_t vmListVersion = 0;
    /** True when leavingVms is the set of vmListVersion; false when the set was left out. */
    bool hasLeavingVms = false;
    /** Endpoint VMs and daemons that the platform's list shows as leaving; sent only when the receiver's version is
     * older. */
    std::vector<VmId> leavingVms;
};

/** Asks for the configuration if the receiver has a version newer than knownVersion. */
struct ConfigRequest {
    std::uint64_t knownVersion = 0;
    /** Zero-based index of the requested chunk. */
    std::size_t chunk = 0;
    /** True when the answer may be a patch of the known version. */
    bool acceptsPatch = false;
};

/** Describes a patch: the bytes replace the middle of an older version, whose start and end are kept. */
struct ConfigPatch {
    std::uint64_t baseVersion = 0;
    /** Bytes kept at the start and at the end of the base. */
    std::size_t keptAtStart = 0;
    std::size_t keptAtEnd = 0;
    /** SHA-256 of the patched configuration, 32 bytes. */
    std::string sha256;
};

/** One chunk of a configuration in its canonical encoding, or a patch. */
struct ConfigReply {
    std::uint64_t version = 0;
    std::size_t chunk = 0;
    std::size_t chunkCount = 0;
    std::string bytes;
    /** Set only when the reply is a patch, which always fits one chunk. */
    std::optional<ConfigPatch> patch = std::nullopt;
};

/** A session's statement, forwarded by the caller's daemon to a daemon that has connections to the group. */
struct SessionStatement {
    /** Chosen by the sender and repeated in the answer. */
    std::uint64_t correlation = 0;
    Statement statement;
    GroupId group;
    /** Empty where callers need no key. */
    CustomerId customer;
    std::size_t rank = 0;
    /** Time left until the deadline when the message was sent. */
    Milliseconds timeLeft { 0 };
    bool isWrite = false;
    bool needsPrimary = false;
    bool opensTransaction = false;
    bool isReadOnlyTransaction = false;
    /** Maximum age of the data that the statement may read, relative to its arrival at the receiver. */
    Milliseconds maximumStaleness { 0 };
    /** Highest log position of the session's own commits, which must be visible to the statement. Set only under
     * ReadRule::ReadYourWrites. */
    std::optional<LogPosition> sessionPosition;
    /** Session values and the prepared statement that the statement names; other prepared statements are not sent. */
    SessionContents contents;
    /** Number of the open transaction at the receiver; 0 when none is open. */
    std::uint64_t transaction = 0;
};

/** Result of a SessionStatement. */
struct SessionAnswer {
    std::uint64_t correlation = 0;
    Reply reply;
    /** Number of the transaction that remains open; 0 when none does. */
    std::uint64_t transaction = 0;
    EndpointId endpoint;
    std::size_t attempts = 0;
};

/**
 * True if the receiver accepts the message. A daemon closes the channel on a message that it refuses, which ends the
 * statements of all callers on it, so others must not be sent. The answer is an estimate that refuses some messages
 * just below the limit.
 */
bool isForwardable(const ForwardRequest&);
bool isForwardable(const SessionStatement&);
bool isForwardable(const SessionAnswer&);

/** Asks the receiver to roll back an open transaction. */
struct SessionTransactionEnd {
    std::uint64_t transaction = 0;
};

/** Tells the receiver of a SessionStatement that the caller has disconnected. */
struct SessionAbandon {
    std::uint64_t correlation = 0;
};

/** Asks a watcher of the platform's store for changes. */
struct StoreUpdateRequest {
    /** A key prefix and the revision up to which the sender knows its keys; 0 when it knows none. */
    struct Known {
        std::string prefix;
        std::uint64_t revision = 0;
    };
    std::vector<Known> known;
    /** Repeated in the updates. */
    std::uint64_t number = 0;
    /** The sender downloads packed items with StorePartRequest. Former versions ignore it and send all items. */
    bool acceptsPacked = false;
};

/** Describes items that packStoreItems() has packed; they are downloaded in parts. */
struct PackedItems {
    /** Hash of the packed bytes: daemons that packed them alike offer the same package. */
    std::uint64_t id = 0;
    std::uint64_t bytes = 0;
};

/** Keys with one prefix that changed after the revision in the request, or all of them. */
struct StoreUpdate {
    std::string prefix;
    /** Revision of the store's newest answer to the watcher. */
    std::uint64_t revision = 0;
    /** Revision up to which the watcher knows all changes; former versions state the one above only. */
    std::uint64_t reportedRevision = 0;
    /** True when items lists every existing key with the prefix; false when it lists only changes. */
    bool isSnapshot = false;
    /** Time since the store last confirmed this state. */
    Milliseconds age { 0 };
    /** Number of the request that is answered. */
    std::uint64_t number = 0;
    /** Time since the store provably held no other state, when the update was sent; nullopt if it is not known. */
    std::optional<Milliseconds> proofAge;
    std::vector<StoreItem> items;
    /** Takes the place of the items if they are large; set only if the request accepts it. */
    std::optional<PackedItems> packed = std::nullopt;
};

/** Asks for a part of packed items that an update of the receiver has offered. */
struct StorePartRequest {
    std::uint64_t package = 0;
    std::uint64_t offset = 0;
};

/** Answer to StorePartRequest. */
struct StorePart {
    std::uint64_t package = 0;
    std::uint64_t offset = 0;
    /** Empty if the sender no longer has the package. */
    std::string bytes;
};

/** Asks a coordinator for operations of a customer's limit. */
struct QuotaRequest {
    /** Repeated in the answer. */
    std::uint64_t number = 0;
    CustomerId customer;
    std::uint64_t operations = 0;
    /** How many of them are of the most urgent rank. */
    std::uint64_t urgent = 0;
    /** Operations that this coordinator granted earlier and that the sender has not used. */
    std::uint64_t unused = 0;
};

/** Answer to QuotaRequest. */
struct QuotaAnswer {
    std::uint64_t number = 0;
    std::uint64_t granted = 0;
    /** How many of the granted operations are for the most urgent rank. */
    std::uint64_t grantedUrgent = 0;
    /** With fewer operations than requested: time after which more are expected. */
    Milliseconds retryAfter { 0 };
};

/** Asks another owner of a group whether it still receives answers from the group's primary. */
struct PrimarySuspicion {
    /** Repeated in the answer. */
    std::uint64_t number = 0;
    GroupId group;
    EndpointId primary;
    /** Time since the primary last answered the sender. A duration, because a time point would need synchronized
     * clocks. */
    Milliseconds silentFor { 0 };
    /**
     * Not 0: the receiver also orders the primary to step down in this term. Daemons of earlier versions ignore the
     * field and answer as to a question.
     */
    Term stepDownTerm = 0;
    /** Not 0: fencing token of the change of primary during which the receiver holds the group's writes. */
    std::uint64_t fence = 0;
    /** The calls of the change with this fence are resolved; `stepDownTerm` is then 0. */
    bool isClosed = false;
    /** With isClosed: not 0 if `primary` was seen to lead in this term. */
    Term leadingTerm = 0;
};

/** Answer to PrimarySuspicion. */
struct PrimarySuspicionAnswer {
    std::uint64_t number = 0;
    PrimaryOpinion opinion = PrimaryOpinion::Unknown;
    /** Result of the order to step down; absent when there was none, and from daemons of earlier versions. */
    std::optional<StepDownReport> stepDown {};
    /** The sender holds the group's writes under the fence of the request. Without `stepDown`, the result follows. */
    bool isHolding = false;
    /** With isHolding: newest commit that the sender has passed on to a caller as successful. */
    LogPosition acknowledged {};
};

/** Liveness probe to a daemon that runs forwarded statements, or to another owner of a group to exchange reports. */
struct OwnerProbe {
    /** Daemons of earlier versions ignore the member and send none. */
    std::vector<GroupReport> reports {};
};

/** Answer to OwnerProbe, sent at once. */
struct OwnerProbeAnswer {
    /** As in OwnerProbe. */
    std::vector<GroupReport> reports {};
};

using Message = std::variant<ForwardRequest, ForwardReply, Gossip, ConfigRequest, ConfigReply, SuspicionReport,
    PrimaryView, SessionStatement, SessionAnswer, SessionTransactionEnd, SessionAbandon, StoreUpdateRequest,
    StoreUpdate, PrimarySuspicion, PrimarySuspicionAnswer, OwnerProbe, OwnerProbeAnswer, QuotaRequest, QuotaAnswer,
    StorePartRequest, StorePart>;

/** Encodes a message as CBOR. */
std::string encodeMessage(const Message&);
/** Decodes a message; the error says what is malformed. Never throws. */
Result<Message, std::string> decodeMessage(const std::string& bytes);

} // namespace almondlever
