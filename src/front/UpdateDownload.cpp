#include "almondlever/front/UpdateDownload.h"

#include "almondlever/wire/StoreItemPacking.h"

#include <cassert>

namespace almondlever {

UpdateDownload::UpdateDownload(
    StoreUpdate update, VmId source, TimePoint confirmedAt, std::optional<TimePoint> provenAt, TimePoint now)
    : update_(std::move(update))
    , source_(std::move(source))
    , confirmedAt_(confirmedAt)
    , provenAt_(provenAt)
    , startedAt_(now)
    , progressAt_(now)
{
    assert(update_.packed);
}

bool UpdateDownload::addPart(const StorePart& part, TimePoint now)
{
    const bool isRequested = part.package == update_.packed->id && part.offset == bytes_.size();
    if (!isRequested || part.bytes.empty() || part.bytes.size() > update_.packed->bytes - bytes_.size())
        return false;
    bytes_ += part.bytes;
    progressAt_ = now;
    return true;
}

void UpdateDownload::continueFrom(const VmId& source, TimePoint now)
{
    source_ = source;
    progressAt_ = now;
}

Result<std::vector<StoreItem>, std::string> UpdateDownload::unpack() const
{
    assert(isComplete());
    return unpackStoreItems(bytes_);
}

} // namespace almondlever
