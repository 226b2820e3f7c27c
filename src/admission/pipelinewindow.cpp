#include "shallotrelay/admission/pipelinewindow.h"

namespace shallotrelay
{

bool mayReadPipelined(const PipelineLimits &limits, const PipelineLoad &load)
{
    if (load.closes) {
        return false;
    }
    return load.unanswered == 0 || (load.unanswered < limits.perConnection && load.pipelinedOnNode < limits.perNode);
}

bool mayStartPipelined(const PipelineLoad &load, bool repeatable)
{
    return load.unanswered == 0 || repeatable;
}

}
