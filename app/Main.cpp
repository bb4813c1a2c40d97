#include <cstdio>

auto main() -> int
{
    std::puts("hemlockvane: usage: hemlockvane serve|ctl|submit|check-settings");
    return 2;
}
