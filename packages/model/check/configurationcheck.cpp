#include "model/check/configurationcheck.h"

#include "model/check/callgraph.h"
#include "model/check/configurationchecker.h"
#include "model/findings/findingserror.h"
#include "model/parsing/configurationparser.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace chervilmount::model {

namespace {

/** Sorts by source, section and object; findings of one object keep their order. */
class DocumentOrder
{
public:
    explicit DocumentOrder(const std::vector<std::string> &sources)
        : m_sources(sources)
    {
    }

    bool operator()(const Finding &left, const Finding &right) const
    {
        return position(left) < position(right);
    }

private:
    using Position = std::tuple<std::ptrdiff_t, std::size_t, std::size_t>;

    Position position(const Finding &finding) const
    {
        const std::ptrdiff_t source =
                std::find(m_sources.begin(), m_sources.end(), finding.m_source) - m_sources.begin();
        const std::string_view pointer = finding.m_pointer;
        for (std::size_t section = 0; section < ObjectKindCount; ++section) {
            const std::string prefix =
                    "/" + std::string(sectionName(static_cast<ObjectKind>(section))) + "/";
            if (!pointer.starts_with(prefix))
                continue;
            std::size_t index = 0;
            std::from_chars(pointer.data() + prefix.size(), pointer.data() + pointer.size(), index);
            return {source, section, index};
        }
        return {source, 0, 0};
    }

    const std::vector<std::string> &m_sources;
};

LoadedConfiguration checkParsed(LocatedConfiguration set, Findings findings,
                                const std::vector<std::string> &sources)
{
    CheckResult result = checkConfiguration(set);
    std::set<std::pair<std::string, std::string>> reported;
    for (const Finding &finding : findings)
        reported.emplace(finding.m_source, finding.m_pointer);
    // A value that could not be parsed holds its default, so a finding about it would be
    // misleading.
    for (Finding &finding : result.m_findings) {
        if (!reported.contains({finding.m_source, finding.m_pointer}))
            findings.push_back(std::move(finding));
    }
    std::stable_sort(findings.begin(), findings.end(), DocumentOrder(sources));
    if (!findings.empty())
        throw FindingsError(std::move(findings));
    return {canonical(std::move(set.m_configuration)), std::move(result.m_notes)};
}

} // namespace

CheckResult checkConfiguration(const LocatedConfiguration &set)
{
    return ConfigurationChecker(set).check();
}

LoadedConfiguration loadConfiguration(const std::vector<SourceText> &texts)
{
    std::vector<std::string> sources;
    for (const SourceText &text : texts)
        sources.push_back(text.m_source);
    Findings findings;
    LocatedConfiguration set = readConfiguration(texts, findings);
    return checkParsed(std::move(set), std::move(findings), sources);
}

LoadedConfiguration loadConfiguration(const boost::json::value &value,
                                      const SourceLocation &location)
{
    Findings findings;
    LocatedConfiguration set = readConfiguration(value, location, findings);
    return checkParsed(std::move(set), std::move(findings), {location.m_source});
}

} // namespace chervilmount::model
