#include "benchmarks/overload/variants.h"

#include <stdexcept>

namespace chervilmount::scenarios {

namespace {

Variant named(const std::string &name)
{
    Variant variant;
    variant.m_name = name;
    return variant;
}

Variant without(const std::string &name, bool Variant::*mechanism)
{
    Variant variant = named("no " + name);
    variant.*mechanism = false;
    return variant;
}

Variant noControl()
{
    Variant variant = named("no control");
    variant.m_admission = AdmissionKind::Uncontrolled;
    variant.m_routing = RoutingKind::OneChoice;
    variant.m_outliers = false;
    variant.m_slowStart = false;
    variant.m_entryThreshold = false;
    variant.m_cancellation = false;
    variant.m_retryDelay = false;
    variant.m_extraAttempts = 0;
    return variant;
}

Variant fixedLimit()
{
    Variant variant = noControl();
    variant.m_name = "fixed limit, 3 retries";
    variant.m_routing = RoutingKind::RoundRobin;
    variant.m_treeAllocation = false;
    variant.m_onlyNextToFailure = false;
    variant.m_retryBudget = false;
    variant.m_extraAttempts = 3;
    return variant;
}

} // namespace

std::vector<Variant> allVariants()
{
    Variant oneChoice = named("no two choices");
    oneChoice.m_routing = RoutingKind::OneChoice;
    return {named("chervilmount"),
            noControl(),
            fixedLimit(),
            without("adaptive limit", &Variant::m_adaptiveLimit),
            without("priorities", &Variant::m_priorities),
            without("over-use levels", &Variant::m_overUseLevels),
            without("round robin of organisations", &Variant::m_roundRobinOrganisations),
            without("sojourn bound", &Variant::m_sojournBound),
            without("deadline refusal", &Variant::m_deadlineRefusal),
            without("threshold at the entry", &Variant::m_entryThreshold),
            without("threshold of the callees", &Variant::m_calleeThreshold),
            without("threshold at the server", &Variant::m_ownThreshold),
            without("carried load", &Variant::m_carriedLoad),
            without("outlier ejection", &Variant::m_outliers),
            without("slow start", &Variant::m_slowStart),
            oneChoice,
            without("cancellation", &Variant::m_cancellation),
            without("retry budget", &Variant::m_retryBudget),
            without("tree allocation", &Variant::m_treeAllocation),
            without("next-to-failure rule", &Variant::m_onlyNextToFailure),
            without("retry delay", &Variant::m_retryDelay)};
}

Variant variantNamed(const std::string &name)
{
    for (const Variant &variant : allVariants()) {
        if (variant.m_name == name)
            return variant;
    }
    throw std::invalid_argument("unknown variant " + name);
}

} // namespace chervilmount::scenarios
