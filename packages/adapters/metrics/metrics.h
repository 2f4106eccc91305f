#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilmount::adapters {

/** One label of a metric. */
struct MetricLabel
{
    std::string m_name;
    std::string m_value;

    // clang-tidy 14 reports the generated comparison with 0.
    auto operator<=>(const MetricLabel &) const = default; // NOLINT(modernize-use-nullptr)
};

using MetricLabels = std::vector<MetricLabel>;

/** Histogram of durations with logarithmic buckets from 100 microseconds to 100 seconds. */
class DurationHistogram
{
public:
    DurationHistogram();

    void record(std::chrono::nanoseconds duration);

    /** Appends the lines of the text exposition format. */
    void write(const std::string &name, const std::string &labels, std::string &text) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

    Histogram m_histogram;
    double m_sum = 0.0;
    std::uint64_t m_count = 0;
};

/** The metrics of a process; written in the text exposition format (version 0.0.4). */
class Metrics
{
public:
    /** Describes a metric; to be called once for each name before it is used. */
    void describe(const std::string &name, const std::string &type, const std::string &help);

    /** Adds to a counter. */
    void add(const std::string &name, const MetricLabels &labels, double amount = 1.0);

    /** Sets a gauge, or a counter whose value is maintained elsewhere. */
    void set(const std::string &name, const MetricLabels &labels, double value);

    /** Records a duration in a histogram. */
    void record(const std::string &name, const MetricLabels &labels,
                std::chrono::nanoseconds duration);

    /** @returns the text of all described metrics. */
    std::string text() const;

private:
    struct Family
    {
        std::string m_type;
        std::string m_help;
        std::map<MetricLabels, double> m_values;
        std::map<MetricLabels, DurationHistogram> m_histograms;
    };

    std::map<std::string, Family> m_families;
};

} // namespace chervilmount::adapters
