#include "hemlockvane/scheduling/Labels.h"

#include <algorithm>

namespace hemlockvane::scheduling {

auto hasLabel(std::span<const std::string> labels, std::string_view required) -> bool
{
    return required.empty() || std::find(labels.begin(), labels.end(), required) != labels.end();
}

} // namespace hemlockvane::scheduling
