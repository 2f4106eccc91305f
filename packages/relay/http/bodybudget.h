#pragma once

#include <cstddef>
#include <memory>

namespace chervilmount::relay {

/** Bounds the bytes of bodies that a process holds at once, over all connections. */
struct BodyBudget
{
    std::size_t m_limit = 64UL * 1024 * 1024;
    std::size_t m_used = 0;
};

/** The bytes of one body in a budget; they are given back when the object is destroyed. */
class BodyShare
{
public:
    /** Belongs to no budget; every size is granted. */
    BodyShare() = default;
    explicit BodyShare(std::shared_ptr<BodyBudget> budget);
    ~BodyShare();

    BodyShare(BodyShare &&other) noexcept;
    BodyShare &operator=(BodyShare &&other) noexcept;
    BodyShare(const BodyShare &) = delete;
    BodyShare &operator=(const BodyShare &) = delete;

    /** Asks for the size that the body has now.
     * @returns whether the budget grants it; the share stays as it was otherwise. */
    bool resize(std::size_t bytes);

    /** As resize(), but grants at most half of what the other bodies leave, so that bodies without
     * end, however many, leave room for others. See Choudhury and Hahne, "Dynamic Queue Length
     * Thresholds for Shared-Memory Packet Switches", IEEE/ACM Transactions on Networking 6(2),
     * 1998. */
    bool resizeFairly(std::size_t bytes);

    /** Counts further bytes that are held in any case, so that others find less room. */
    void add(std::size_t bytes);

private:
    void giveBack();

    std::shared_ptr<BodyBudget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace chervilmount::relay
