#include "model/json/text.h"

#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <utility>

namespace chervilmount::model {

namespace {

namespace json = boost::json;

std::string numberText(double number)
{
    if (!std::isfinite(number))
        return "null";
    std::array<char, 32> buffer{};
    const std::to_chars_result end =
            std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    return {buffer.data(), end.ptr};
}

class Writer
{
public:
    explicit Writer(Layout layout)
        : m_layout(layout)
    {
    }

    void write(const json::value &value)
    {
        if (const json::object *object = value.if_object())
            writeObject(*object);
        else if (const json::array *array = value.if_array())
            writeArray(*array);
        else if (const double *number = value.if_double())
            m_text += numberText(*number);
        else
            m_text += json::serialize(value);
    }

    std::string m_text;

private:
    void writeObject(const json::object &object)
    {
        begin('{');
        for (const json::key_value_pair &field : object) {
            beginElement();
            m_text += json::serialize(json::string(field.key()));
            m_text += m_layout == Layout::Indented ? ": " : ":";
            write(field.value());
        }
        end('}');
    }

    void writeArray(const json::array &array)
    {
        begin('[');
        for (const json::value &element : array) {
            beginElement();
            write(element);
        }
        end(']');
    }

    void begin(char bracket)
    {
        m_text += bracket;
        ++m_depth;
        m_isFirst = true;
    }

    void beginElement()
    {
        if (!m_isFirst)
            m_text += ',';
        m_isFirst = false;
        breakLine();
    }

    void end(char bracket)
    {
        --m_depth;
        if (!m_isFirst)
            breakLine();
        m_text += bracket;
        m_isFirst = false;
    }

    void breakLine()
    {
        if (m_layout == Layout::Indented)
            m_text += '\n' + std::string(2 * m_depth, ' ');
    }

    Layout m_layout;
    std::size_t m_depth = 0;
    bool m_isFirst = true;
};

} // namespace

std::string toText(const json::value &value, Layout layout)
{
    Writer writer(layout);
    writer.write(value);
    return std::move(writer.m_text);
}

} // namespace chervilmount::model
