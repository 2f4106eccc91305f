#include "benchmarks/membership/fit.h"

#include <cmath>

namespace chervilmount::measurements {

Line fitLine(const std::vector<Point> &points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (const auto &[x, y] : points) {
        sumX += x;
        sumY += y;
        sumXX += x * x;
        sumXY += x * y;
    }
    const double count = static_cast<double>(points.size());
    const double divisor = count * sumXX - sumX * sumX;
    if (divisor == 0)
        return {sumY / count, 0};
    const double slope = (count * sumXY - sumX * sumY) / divisor;
    return {(sumY - slope * sumX) / count, slope};
}

double fitExponent(const std::vector<Point> &points)
{
    std::vector<Point> logarithms;
    for (const auto &[x, y] : points) {
        if (x > 0 && y > 0)
            logarithms.emplace_back(std::log(x), std::log(y));
    }
    return fitLine(logarithms).m_slope;
}

} // namespace chervilmount::measurements
