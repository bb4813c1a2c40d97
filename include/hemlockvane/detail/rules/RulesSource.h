#pragma once

#include "hemlockvane/detail/rules/OperatorRules.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Location and decoders of the operators' records.
struct RulesSource {
    std::string m_topic; ///< Keyed topic to which the operators write.
    std::string m_rulesKey; ///< Key of the newest configuration.
    std::function<std::optional<OperatorRules>(std::string_view value)> m_decode;
    /// Zone that a record with this key evacuates, as long as the key has a value; empty for any other key.
    /// Without this function there are no evacuations.
    std::function<std::optional<std::string>(std::string_view key)> m_evacuatedZone;
    std::function<void(std::string_view key, std::string_view value)>
        m_onOtherRecord; ///< Called with every other record.
};

} // namespace hemlockvane::detail
