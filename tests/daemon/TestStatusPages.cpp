#include "daemon/StatusPages.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace almondlever;

// Guards against an exception instead of a page when a query names a caller in bytes that are not UTF-8.
Test(StatusPages, explainsCallersWithBytesThatAreNotUtf8)
{
    RouteExplanation explanation;
    explanation.reason = "unknown_caller: caller 'a\xff' is not in the inventory";
    const nlohmann::json page = nlohmann::json::parse(explanationPage(explanation));
    cr_assert_eq(
        page.at("reason").get<std::string>(), "unknown_caller: caller 'a\xef\xbf\xbd' is not in the inventory");
}
