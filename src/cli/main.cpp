#include "cli/commands.h"
#include "cli/version.h"
#include "platform/commands.h"

#include <sodium.h>

#include <iostream>
#include <map>

namespace
{

constexpr const char *Usage = "usage: shallotrelay COMMAND [FLAGS]\n"
                              "\n"
                              "  node      run beside a target VM: front end for callers, router, guard\n"
                              "  control   store the accepted bundles and the directory of targets\n"
                              "  bundle    manage bundles: keygen, check, sign, submit, status, history\n"
                              "  rollout   manage the roll-outs of a cluster: start, watch, abort\n"
                              "  demo      run both sample deployments on loopback in one process\n"
                              "  target    run a stand-in target\n"
                              "  load      generate an open-loop load and print latencies\n"
                              "  platform-node, platform-control\n"
                              "            node and control process for the users' platform, see docs/PLATFORM.md\n"
                              "\n"
                              "shallotrelay COMMAND --help lists the flags of a command.\n";

}

int main(int argc, char **argv)
{
    using namespace shallotrelay;
    using Command = int (*)(const Arguments &);
    const std::map<std::string, Command> commands = {{"node", runNodeCommand},
                                                     {"control", runControlCommand},
                                                     {"bundle", runBundleCommand},
                                                     {"rollout", runRolloutCommand},
                                                     {"target", runTargetCommand},
                                                     {"load", runLoadCommand},
                                                     {"demo", runDemoCommand},
                                                     {"platform-node", platform::runNodeCommand},
                                                     {"platform-control", platform::runControlCommand}};
    Arguments args(argv + 1, argv + argc);
    const std::string first = args.empty() ? "" : args.front();
    if (first == "--version") {
        std::cout << "shallotrelay " << Version << '\n';
        return ExitOk;
    }
    if (first == "--help") {
        std::cout << Usage;
        return ExitOk;
    }
    const auto it = commands.find(first);
    if (it == commands.end()) {
        std::cerr << "shallotrelay: unknown command \"" << first << "\"\n" << Usage;
        return ExitUsage;
    }
    if (sodium_init() < 0) {
        std::cerr << "shallotrelay: cannot initialise libsodium\n";
        return ExitFailed;
    }
    args.erase(args.begin());
    return it->second(args);
}
