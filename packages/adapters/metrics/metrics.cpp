#include "adapters/metrics/metrics.h"

#include <cmath>
#include <cstdio>

namespace chervilmount::adapters {

namespace {

constexpr unsigned BucketCount = 30;
constexpr double LowestBoundSeconds = 1e-4;
constexpr double HighestBoundSeconds = 100.0;

std::string formatNumber(double value)
{
    constexpr int Digits = 15;
    if (std::isinf(value))
        return "+Inf";
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%.*g", Digits, value);
    return text.data();
}

std::string formatLabels(const MetricLabels &labels)
{
    std::string text;
    for (const MetricLabel &label : labels) {
        if (!text.empty())
            text += ',';
        text += label.m_name + "=\"";
        for (const char character : label.m_value) {
            if (character == '\n') {
                text += "\\n";
                continue;
            }
            if (character == '"' || character == '\\')
                text += '\\';
            text += character;
        }
        text += '"';
    }
    return text;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

} // namespace

DurationHistogram::DurationHistogram()
    : m_histogram(boost::histogram::make_histogram(
            Axis(BucketCount, LowestBoundSeconds, HighestBoundSeconds)))
{
}

void DurationHistogram::record(std::chrono::nanoseconds duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    m_histogram(seconds);
    m_sum += seconds;
    ++m_count;
}

void DurationHistogram::write(const std::string &name, const std::string &labels,
                              std::string &text) const
{
    const std::string separator = labels.empty() ? "" : ",";
    const auto &axis = m_histogram.axis(0);
    double cumulativeCount = m_histogram.at(-1);
    const auto appendBucket = [&](double bound) {
        text += name + "_bucket{" + labels + separator + "le=\"" + formatNumber(bound) + "\"} "
                + formatNumber(cumulativeCount) + "\n";
    };
    appendBucket(axis.value(0));
    for (int index = 0; index < axis.size(); ++index) {
        cumulativeCount += m_histogram.at(index);
        appendBucket(axis.value(index + 1));
    }
    cumulativeCount = static_cast<double>(m_count);
    appendBucket(INFINITY);
    text += name + "_sum" + braced(labels) + " " + formatNumber(m_sum) + "\n";
    text += name + "_count" + braced(labels) + " " + std::to_string(m_count) + "\n";
}

void Metrics::describe(const std::string &name, const std::string &type, const std::string &help)
{
    Family &family = m_families[name];
    family.m_type = type;
    family.m_help = help;
}

void Metrics::add(const std::string &name, const MetricLabels &labels, double amount)
{
    m_families[name].m_values[labels] += amount;
}

void Metrics::set(const std::string &name, const MetricLabels &labels, double value)
{
    m_families[name].m_values[labels] = value;
}

void Metrics::record(const std::string &name, const MetricLabels &labels,
                     std::chrono::nanoseconds duration)
{
    m_families[name].m_histograms[labels].record(duration);
}

std::string Metrics::text() const
{
    std::string text;
    for (const auto &[name, family] : m_families) {
        text += "# HELP " + name + " " + family.m_help + "\n";
        text += "# TYPE " + name + " " + family.m_type + "\n";
        for (const auto &[labels, value] : family.m_values)
            text += name + braced(formatLabels(labels)) + " " + formatNumber(value) + "\n";
        for (const auto &[labels, histogram] : family.m_histograms)
            histogram.write(name, formatLabels(labels), text);
    }
    return text;
}

} // namespace chervilmount::adapters
