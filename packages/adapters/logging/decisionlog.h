#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chervilmount::adapters {

/** One key=value field of a log line. */
struct LogField
{
    std::string_view m_key;
    std::string m_value;
};

/** Level of a log line. */
enum class LogLevel { Debug, Info, Warn, Error };

/** Standard stream that receives the log if no file is configured. */
enum class LogStream { Error, Output };

/**
 * Configures log4cxx for the process; to be called once. A separate thread writes the lines; lines
 * that do not fit into its queue are discarded, so that logging never blocks the I/O thread.
 * @param level "off", "error", "warn", "info" or "debug".
 * @param file path of the log file; if empty, the log goes to @p stream.
 */
void configureLog(const std::string &level, const std::string &file,
                  LogStream stream = LogStream::Error);

/** Writes the queued lines and stops the writer thread. */
void shutDownLog();

/** @returns whether lines of this category and level are written. */
bool isLogged(std::string_view category, LogLevel level);

/**
 * Writes one line of key=value fields.
 * @param category name below "chervilmount", for example "route"; levels are set by category.
 */
void logLine(std::string_view category, LogLevel level, const std::vector<LogField> &fields);

/** Formats fields as "key=value" separated by blanks; values with blanks or quotes are quoted. */
std::string formatFields(const std::vector<LogField> &fields);

} // namespace chervilmount::adapters
