#pragma once

#include "model/configuration/configuration.h"
#include "model/configuration/objectkind.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace chervilmount::model {

/** How an object differs between two configurations. */
enum class ObjectChange { Added, Removed, Changed };

/** One field that differs; null stands for an absent value. */
struct FieldDifference
{
    std::string m_field;
    boost::json::value m_old;
    boost::json::value m_new;
};

/** One object that differs between two configurations. */
struct ObjectDifference
{
    ObjectKind m_kind = ObjectKind::FailureDomain;
    std::string m_name;
    ObjectChange m_change = ObjectChange::Changed;
    /** The fields that differ; for added and removed objects, all fields except the name. */
    std::vector<FieldDifference> m_fields;
};

/** @returns the objects that differ, sorted by kind and name; their original order is ignored. */
std::vector<ObjectDifference> diff(const Configuration &from, const Configuration &to);

/** @returns the differences as JSON, as in a conflict response of a publication. */
boost::json::array toJson(const std::vector<ObjectDifference> &differences);

/** @returns the word for a change, e.g. "added". */
std::string_view changeName(ObjectChange change);

} // namespace chervilmount::model
