#pragma once

#include "relay/frames/frames.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chervilmount::relay {

/** One row of the platform's store. */
struct StoreRow
{
    std::string m_key;
    std::string m_value;
};

/** What the node needs from the platform's store; implemented by the platform's adapter. */
class SharedStore
{
public:
    SharedStore() = default;
    SharedStore(const SharedStore &) = delete;
    SharedStore &operator=(const SharedStore &) = delete;
    virtual ~SharedStore() = default;

    /** Gets the outcome of a call; false if it failed or its outcome is unknown. */
    using WriteCallback = std::function<void(bool)>;
    using RowsCallback = std::function<void(bool, std::vector<StoreRow>)>;

    /** Writes one row, whatever it held before. Writing the same row twice does no harm. */
    virtual void write(const std::string &table, const StoreRow &row, WriteCallback callback) = 0;

    /** Reads all rows of a table as of one moment. */
    virtual void read(const std::string &table, RowsCallback callback) = 0;

    /**
     * Follows the policy document from now on. The callback gets every version that is seen; old
     * ones may come again.
     */
    virtual void followPolicy(std::function<void(const PolicyDocument &)> callback) = 0;

    /** Called with false when the store cannot be reached any more, with true when it can again. */
    std::function<void(bool)> m_onReachable;

    /** Calls made so far, and those that failed. @{ */
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
    /** @} */
};

} // namespace chervilmount::relay
