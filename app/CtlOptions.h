#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockvane::app {

/// @brief Options and words of the command line of ctl.
struct CtlOptions {
    std::string m_address;
    std::string m_key;
    std::string m_author;
    std::string m_reason;
    std::string m_secret; ///< Key to grant; empty: the entry generates one.
    std::string m_pools; ///< Comma-separated; empty: all.
    std::int64_t m_expiresInSeconds = 0; ///< Of an exception; 0: never.
    std::int64_t m_finishInSeconds = 0; ///< Of a wave; 0: no limit.
    std::optional<std::uint64_t> m_expectedVersion; ///< Empty: the version in force now.
    bool m_isJson = false;
    std::vector<std::string> m_words; ///< Command and its arguments.
};

} // namespace hemlockvane::app
