#include "relay/http/bodybudget.h"

#include <algorithm>
#include <utility>

namespace chervilmount::relay {

BodyShare::BodyShare(std::shared_ptr<BodyBudget> budget)
    : m_budget(std::move(budget))
{
}

BodyShare::~BodyShare()
{
    giveBack();
}

BodyShare::BodyShare(BodyShare &&other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

BodyShare &BodyShare::operator=(BodyShare &&other) noexcept
{
    if (this == &other)
        return *this;
    giveBack();
    m_budget = std::move(other.m_budget);
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

bool BodyShare::resize(std::size_t bytes)
{
    if (!m_budget)
        return true;
    if (bytes > m_bytes && m_budget->m_used + (bytes - m_bytes) > m_budget->m_limit)
        return false;
    m_budget->m_used += bytes;
    m_budget->m_used -= m_bytes;
    m_bytes = bytes;
    return true;
}

bool BodyShare::resizeFairly(std::size_t bytes)
{
    if (!m_budget)
        return true;
    const std::size_t others = m_budget->m_used - m_bytes;
    const std::size_t room = m_budget->m_limit - std::min(m_budget->m_limit, others);
    if (bytes > m_bytes && bytes > room / 2)
        return false;
    return resize(bytes);
}

void BodyShare::add(std::size_t bytes)
{
    if (!m_budget)
        return;
    m_budget->m_used += bytes;
    m_bytes += bytes;
}

void BodyShare::giveBack()
{
    if (m_budget)
        m_budget->m_used -= std::exchange(m_bytes, 0);
}

} // namespace chervilmount::relay
