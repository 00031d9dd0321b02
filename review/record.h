// The record of a case: what was sent, answered and run, one line each, with the time since the start of the case.
#pragma once
#include "harness/gateway_rig.h"
#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <string>

namespace review {

class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    Record(const Record&) = delete;
    ~Record()
    {
        if (m_file)
            std::fclose(m_file);
    }
    bool isOpen() const { return m_file != nullptr; }

    void add(const std::string& line)
    {
        std::chrono::duration<double> passed = std::chrono::steady_clock::now() - m_startedAt;
        auto text = fmt::format("{:8.3f} s  {}\n", passed.count(), line);
        std::fputs(text.c_str(), m_file);
        std::fputs(text.c_str(), stdout);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    std::chrono::steady_clock::time_point m_startedAt { std::chrono::steady_clock::now() };
};

// Whether the case is to be run with its disruption.
inline bool hasTrouble()
{
    auto* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

enum ExitCode {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

}
