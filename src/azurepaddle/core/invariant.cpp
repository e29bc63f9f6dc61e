#include "azurepaddle/core/invariant.hpp"

#include <cstdio>
#include <cstdlib>

namespace azurepaddle::internal {

void failInvariant(const char* condition, const std::string& message, const char* file, int line) noexcept
{
    std::fprintf(stderr, "invariant broken: %s (%s) at %s:%d\n", message.c_str(), condition, file, line);
    std::fflush(stderr);
    std::abort();
}

}
