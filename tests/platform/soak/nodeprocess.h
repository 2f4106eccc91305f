#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>

/** A node that runs as a process of its own. It is killed with its owner. */
class NodeProcess
{
public:
    /**
     * @param program path of the node's program.
     * @param settings path of the settings file.
     * @param decisions path of the file of decision settings; none if empty.
     * @param log path of the file to which its output is appended.
     */
    NodeProcess(std::string program, std::string settings, std::string decisions, std::string log);
    ~NodeProcess();

    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    /** @throws std::system_error if the program cannot be started. */
    void start();

    /** Sends a signal; ignored if the process has ended. */
    void signal(int number) const;

    /** @returns how long its main thread has waited for a processor since its start; 0 if unknown.
     */
    std::chrono::nanoseconds waitedForProcessor() const;

    /** @returns whether the process runs, after collecting it if it has ended. */
    bool isRunning();

private:
    std::string m_program;
    std::string m_settings;
    std::string m_decisions;
    std::string m_log;
    pid_t m_process = 0;
};
