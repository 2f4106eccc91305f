#include "node/entry/recordedresponse.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace chervilmount::node {

namespace json = boost::json;

std::string toBytes(const RecordedResponse &response)
{
    json::array fields;
    for (const adapters::HttpField &field : response.m_head.m_fields)
        fields.push_back(json::array{field.m_name, field.m_value});
    // The first line is the head as JSON; everything after it is the body.
    return json::serialize(json::object{{"status", response.m_head.m_status},
                                        {"fields", std::move(fields)}})
            + "\n" + response.m_body;
}

std::optional<RecordedResponse> recordedResponseFromBytes(const std::string &bytes)
{
    const std::size_t end = bytes.find('\n');
    if (end == std::string::npos)
        return std::nullopt;
    RecordedResponse response;
    try {
        const json::value head = json::parse(std::string_view(bytes).substr(0, end));
        response.m_head.m_status = head.at("status").to_number<int>();
        for (const json::value &field : head.at("fields").as_array()) {
            response.m_head.m_fields.push_back(
                    {std::string(field.at(0).as_string()), std::string(field.at(1).as_string())});
        }
    } catch (const std::exception &) {
        return std::nullopt;
    }
    response.m_body = bytes.substr(end + 1);
    return response;
}

ResponseRecorder::ResponseRecorder(std::size_t maximumBytes)
    : m_maximumBytes(maximumBytes)
{
}

void ResponseRecorder::start(const adapters::HttpResponseHead &head)
{
    m_response = {head, ""};
    m_response.m_head.m_bodyBytes.reset();
    m_overflowed = false;
}

void ResponseRecorder::add(const std::string &data)
{
    if (m_response.m_body.size() + data.size() > m_maximumBytes)
        m_overflowed = true;
    else if (!m_overflowed)
        m_response.m_body += data;
}

std::optional<RecordedResponse> ResponseRecorder::take()
{
    if (m_overflowed)
        return std::nullopt;
    return std::move(m_response);
}

} // namespace chervilmount::node
