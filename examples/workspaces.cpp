// Reads the key of a request and finds the workspace that holds it.
#include "shallotrelay/workspace/callerpolicy.h"

#include <iostream>

using namespace shallotrelay;

int main()
{
    const std::vector<Workspace> workspaces = {{"alba", {"k-1", "k-2"}, 1}, {"breaza", {"k-3"}, 2}};
    if (!checkWorkspaces(workspaces).ok()) {
        return 1;
    }
    const KeyTable table(workspaces, KeyTable::Secret{}); // a program takes 32 random bytes
    const Credential credential = parseBearer({{"Authorization", "Bearer k-3"}});
    const CallerDecision decision = decideCaller(table, credential, false, Duration::zero(), CallerPolicy{});
    std::cout << toString(decision.verdict) << ' ' << (decision.workspace ? decision.workspace->name : "") << '\n';
    return decision.workspace ? 0 : 1;
}
