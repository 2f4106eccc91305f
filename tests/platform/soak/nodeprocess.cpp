#include "platform/soak/nodeprocess.h"

#include <csignal>
#include <cstdint>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>
#include <vector>

NodeProcess::NodeProcess(std::string program, std::string settings, std::string decisions,
                         std::string log)
    : m_program(std::move(program))
    , m_settings(std::move(settings))
    , m_decisions(std::move(decisions))
    , m_log(std::move(log))
{
}

NodeProcess::~NodeProcess()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

void NodeProcess::start()
{
    std::string boot = "CHERVILMOUNT_BOOT=" + m_settings;
    std::vector<std::string> words{m_program, "--platform"};
    if (!m_decisions.empty()) {
        words.emplace_back("--decisions");
        words.push_back(m_decisions);
    }
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    char *environment[] = {boot.data(), nullptr};
    posix_spawn_file_actions_t actions{};
    ::posix_spawn_file_actions_init(&actions);
    constexpr mode_t LogMode = 0644;
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, LogMode);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = ::posix_spawn(&m_process, m_program.c_str(), &actions, nullptr,
                                    arguments.data(), environment);
    ::posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        m_process = 0;
        throw std::system_error(error, std::generic_category(), m_program);
    }
}

void NodeProcess::signal(int number) const
{
    if (m_process > 0)
        ::kill(m_process, number);
}

std::chrono::nanoseconds NodeProcess::waitedForProcessor() const
{
    std::ifstream statistics("/proc/" + std::to_string(m_process) + "/schedstat");
    std::int64_t ran = 0;
    std::int64_t waited = 0;
    statistics >> ran >> waited;
    return std::chrono::nanoseconds(statistics ? waited : 0);
}

bool NodeProcess::isRunning()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) != 0)
        m_process = 0;
    return m_process > 0;
}
