#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/wire/Messages.h"

#include <optional>
#include <string>

namespace almondlever {

/**
 * Downloads the packed items of one update, a part at a time: at most one part is under way, however large the update
 * is, so that other messages pass and a time limit applies to one part. Another daemon that offers the same package can
 * continue the download.
 */
class UpdateDownload {
public:
    /** The update must have packed items; its times are those at which it was received. */
    UpdateDownload(
        StoreUpdate update, VmId source, TimePoint confirmedAt, std::optional<TimePoint> provenAt, TimePoint now);

    const StoreUpdate& update() const { return update_; }
    const VmId& source() const { return source_; }
    /** Time at which the store last confirmed the state of the update. */
    TimePoint confirmedAt() const { return confirmedAt_; }
    /** @see PrefixFollower::provenAt */
    std::optional<TimePoint> provenAt() const { return provenAt_; }
    TimePoint startedAt() const { return startedAt_; }

    StorePartRequest nextRequest() const { return { update_.packed->id, bytes_.size() }; }
    /** Adds a part; returns false if it is not the requested one. */
    bool addPart(const StorePart&, TimePoint now);
    bool isComplete() const { return bytes_.size() >= update_.packed->bytes; }
    /** Returns true if no part has arrived for this long. */
    bool isStalled(Duration limit, TimePoint now) const { return now - progressAt_ >= limit; }
    /** Continues with another daemon that offers the same package. */
    void continueFrom(const VmId& source, TimePoint now);
    /** Unpacks the items of a complete download; the error says what is malformed. */
    Result<std::vector<StoreItem>, std::string> unpack() const;

private:
    StoreUpdate update_;
    VmId source_;
    TimePoint confirmedAt_;
    std::optional<TimePoint> provenAt_;
    TimePoint startedAt_;
    TimePoint progressAt_;
    std::string bytes_;
};

} // namespace almondlever
