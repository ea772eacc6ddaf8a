#include "almondlever/common/Finding.h"
#include "almondlever/transport/HttpMessage.h"

#include <criterion/criterion.h>

using namespace almondlever;

// Guards against findings without file, line and column, which the operator could not locate.
Test(Finding, describesLocationAndAdvice)
{
    const Finding finding { "rules.yaml", 7, 3, "unknown key 'rnak'", "did you mean 'rank'?" };
    cr_assert(describe(finding) == "rules.yaml:7:3: unknown key 'rnak'; did you mean 'rank'?");
}

// Guards against an out-of-range port being truncated to 16 bits and connecting to another server.
Test(HttpAddress, rejectsPortOutOfRange)
{
    cr_assert(!parseHttpAddress("127.0.0.1:70000").hasValue());
    cr_assert(!parseHttpAddress("127.0.0.1:0").hasValue());
    cr_assert(!parseHttpAddress("127.0.0.1").hasValue());
    cr_assert(parseHttpAddress("127.0.0.1:7001").hasValue());
}
