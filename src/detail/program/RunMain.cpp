#include "hemlockvane/detail/program/RunMain.h"

#include <cstdio>
#include <exception>

namespace hemlockvane::detail {

auto runMain(int argc, char** argv, int (*body)(int, char**)) noexcept -> int
{
    try {
        return body(argc, argv);
    } catch (const std::exception& exception) {
        std::fprintf(stderr, "%s\n", exception.what());
    } catch (...) {
        std::fputs("unknown exception\n", stderr);
    }
    return 1;
}

} // namespace hemlockvane::detail
