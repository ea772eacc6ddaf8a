#include "ExampleFiles.h"
#include "almondlever/config/ConfigurationTransition.h"

#include <criterion/criterion.h>

using namespace almondlever;

// Guards promise P2: when the servers of a group change, majorities of the old and the new set need not overlap.
Test(ConfigurationTransition, rejectsChangedServersInAGroup)
{
    const auto loaded = loadExample("kavango");
    Configuration after = loaded.value();
    after.databases[0].endpoints[2].id = EndpointId("replacement");
    cr_assert(findUnsafeChanges(loaded.value(), after).size() == 1);
    after.databases[1].endpoints.pop_back();
    cr_assert(findUnsafeChanges(loaded.value(), after).size() == 2);
}

// Guards against rejecting changes that leave the set of servers of every group unchanged.
Test(ConfigurationTransition, acceptsChangedAddressesAndWholeDatabases)
{
    const auto loaded = loadExample("kavango");
    Configuration after = loaded.value();
    after.databases[0].endpoints[2].address = "127.0.0.1:29999";
    after.databases[0].endpoints[2].slots = 4;
    after.databases.pop_back();
    after.databases.push_back({ DatabaseId("quotes"), loaded.value().databases[0].endpoints });
    cr_assert(findUnsafeChanges(loaded.value(), after).empty());
}
