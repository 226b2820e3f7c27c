#include "shallotrelay/consensus/compactionpolicy.h"

namespace shallotrelay
{

bool isCompactionDue(const LogSize &committed, const CompactionLimits &limits)
{
    return committed.entries > limits.maxEntries || committed.bytes > limits.maxBytes;
}

}
