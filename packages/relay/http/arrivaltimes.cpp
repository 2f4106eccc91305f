#include "relay/http/arrivaltimes.h"

namespace chervilmount::relay {

void ArrivalTimes::received(std::size_t bytes, TimePoint now)
{
    m_received += bytes;
    m_last = now;
    if (m_arrivals.empty() || now - m_arrivals.back().m_at >= Resolution)
        m_arrivals.push_back({now, m_received});
    else
        m_arrivals.back().m_end = m_received;
}

void ArrivalTimes::used(std::size_t bytes)
{
    m_used += bytes;
    while (!m_arrivals.empty() && m_arrivals.front().m_end <= m_used)
        m_arrivals.pop_front();
}

} // namespace chervilmount::relay
