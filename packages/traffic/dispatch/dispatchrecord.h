#pragma once

namespace chervilmount::traffic {

/**
 * Attempts of one request that a backend server may run or may have run. An attempt counts from its
 * dispatch on; only proof that it has not run, and will not, takes it back. Whatever depends on
 * whether the request may have run, such as its status, a retry or its token, asks this record.
 */
struct DispatchRecord
{
    int m_unresolved = 0;
};

/** To be called before an attempt is handed over. */
void recordDispatch(DispatchRecord &record);

/** Records that one of the dispatched attempts has not run and will not. */
void recordNotRun(DispatchRecord &record);

bool mayHaveRun(const DispatchRecord &record);

/**
 * @returns whether an HTTP status tells a caller that its request has not run and never will: 408,
 * 421, 429 and 503. A backend server's status says nothing of the kind, since the server may have
 * failed with it after the run.
 */
bool statesNotRun(int status);

} // namespace chervilmount::traffic
