#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <sodium.h>

#include <csignal>

int main(int argc, char **argv)
{
    if (sodium_init() < 0) {
        return 1;
    }
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
    return Catch::Session().run(argc, argv);
}
