#include "almondlever/config/ConfigurationOrder.h"

#include <algorithm>

namespace almondlever {

namespace {

    template <typename Element> void sortById(std::vector<Element>& elements)
    {
        std::sort(elements.begin(), elements.end(),
            [](const Element& left, const Element& right) { return left.id < right.id; });
    }

} // namespace

void sortByName(Configuration& configuration)
{
    sortById(configuration.failureDomains);
    sortById(configuration.databases);
    for (DatabaseDescription& database : configuration.databases)
        sortById(database.endpoints);
    sortById(configuration.callers);
    for (CallerRule& caller : configuration.callers)
        std::sort(caller.databases.begin(), caller.databases.end());
}

} // namespace almondlever
