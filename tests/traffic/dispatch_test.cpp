#include "traffic/dispatch/dispatchrecord.h"

#include <catch2/catch.hpp>

using namespace chervilmount::traffic;

// Guards against a refusal of one attempt that proves too much: another one may have run.
TEST_CASE("Only proof for each attempt shows that a request has not run")
{
    DispatchRecord record;
    CHECK_FALSE(mayHaveRun(record));
    recordDispatch(record);
    recordDispatch(record);
    recordNotRun(record);
    CHECK(mayHaveRun(record));
    recordNotRun(record);
    CHECK_FALSE(mayHaveRun(record));
}

// Guards against a status that callers take for a promise and that is passed on as an ordinary
// failure.
TEST_CASE("Four statuses tell a caller that its request has not run")
{
    int promises = 0;
    for (int status = 100; status < 600; ++status)
        promises += statesNotRun(status) ? 1 : 0;
    CHECK(promises == 4);
    for (const int status : {408, 421, 429, 503})
        CHECK(statesNotRun(status));
}
