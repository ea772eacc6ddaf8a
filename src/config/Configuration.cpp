#include "almondlever/config/Configuration.h"

#include <algorithm>

namespace almondlever {

namespace {

    template <typename Element, typename Id> const Element* findById(const std::vector<Element>& elements, const Id& id)
    {
        const auto found
            = std::find_if(elements.begin(), elements.end(), [&](const Element& element) { return element.id == id; });
        return found == elements.end() ? nullptr : &*found;
    }

} // namespace

const CallerRule* Configuration::findCaller(const CallerId& id) const { return findById(callers, id); }

const DatabaseDescription* Configuration::findDatabase(const DatabaseId& id) const { return findById(databases, id); }

RegionId Configuration::regionOf(const FailureDomainId& id) const
{
    const FailureDomain* domain = findById(failureDomains, id);
    return domain ? domain->region : RegionId();
}

} // namespace almondlever
