#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"
#include "almondlever/common/VmListEntry.h"

#include <functional>
#include <string>
#include <vector>

namespace almondlever {

/** The platform's list of live and leaving VMs. Callbacks are called exactly once, on the calling thread. */
class VmList {
public:
    using ListCallback = std::function<void(Result<std::vector<VmListEntry>, std::string>)>;

    virtual ~VmList() = default;

    /** Reads the whole list. */
    virtual void list(Duration timeout, ListCallback) = 0;
};

} // namespace almondlever
