#include "cli/commandsupport.h"

namespace shallotrelay
{

int runDemoCommand(const Arguments &)
{
    return ExitOk;
}

}
