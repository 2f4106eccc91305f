#pragma once

#include <utility>
#include <vector>

namespace chervilmount::measurements {

/** A size and the value measured at it. */
using Point = std::pair<double, double>;

/** Regression line through measured points: value = m_offset + m_slope * size. */
struct Line
{
    double m_offset = 0;
    double m_slope = 0;
};

/** Returns the least-squares regression line. */
Line fitLine(const std::vector<Point> &points);

/** Returns the exponent p of the power law value ~ size^p; 0 means independent of the size. */
double fitExponent(const std::vector<Point> &points);

} // namespace chervilmount::measurements
