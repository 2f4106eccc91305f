#include "adapters/logging/decisionlog.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <memory>

namespace chervilmount::adapters {

namespace {

// Capacity of the queue to the writer thread; further lines are discarded.
constexpr int BufferLines = 8192;

log4cxx::LevelPtr toLog4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

log4cxx::LoggerPtr loggerOf(std::string_view category)
{
    return log4cxx::Logger::getLogger("chervilmount." + std::string(category));
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (static_cast<unsigned char>(character) < ' ') {
            // Prevents log injection: a line break in a caller's value would start a forged line.
            line += '?';
        } else {
            line += character;
        }
    }
    line += '"';
}

} // namespace

void configureLog(const std::string &level, const std::string &file, LogStream stream)
{
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->setLevel(log4cxx::Level::toLevel(level));
    auto layout = std::make_shared<log4cxx::PatternLayout>(
            "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p category=%c %m%n");
    log4cxx::AppenderPtr target;
    if (file.empty())
        target = std::make_shared<log4cxx::ConsoleAppender>(
                layout, stream == LogStream::Output ? "System.out" : "System.err");
    else
        target = std::make_shared<log4cxx::FileAppender>(layout, file, true);
    auto asynchronous = std::make_shared<log4cxx::AsyncAppender>();
    asynchronous->setBufferSize(BufferLines);
    asynchronous->setBlocking(false);
    asynchronous->addAppender(target);
    root->addAppender(asynchronous);
}

void shutDownLog()
{
    log4cxx::LogManager::shutdown();
}

bool isLogged(std::string_view category, LogLevel level)
{
    return loggerOf(category)->isEnabledFor(toLog4cxx(level));
}

void logLine(std::string_view category, LogLevel level, const std::vector<LogField> &fields)
{
    const log4cxx::LoggerPtr logger = loggerOf(category);
    const log4cxx::LevelPtr logLevel = toLog4cxx(level);
    if (logger->isEnabledFor(logLevel))
        logger->forcedLog(logLevel, formatFields(fields));
}

std::string formatFields(const std::vector<LogField> &fields)
{
    std::string line;
    for (const LogField &field : fields) {
        if (!line.empty())
            line += ' ';
        line += field.m_key;
        line += '=';
        if (needsQuotes(field.m_value))
            appendQuoted(line, field.m_value);
        else
            line += field.m_value;
    }
    return line;
}

} // namespace chervilmount::adapters
