#include "model/findings/findingsjson.h"

#include <boost/json/object.hpp>

namespace chervilmount::model {

boost::json::array toJson(const Findings &findings)
{
    boost::json::array result;
    for (const Finding &finding : findings)
        result.push_back(boost::json::object{{"source", finding.m_source},
                                             {"pointer", finding.m_pointer},
                                             {"value", finding.m_value},
                                             {"problem", finding.m_problem},
                                             {"remedy", finding.m_remedy}});
    return result;
}

} // namespace chervilmount::model
