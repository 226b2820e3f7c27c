#include "shallotrelay/admission/pipelinewindow.h"

namespace shallotrelay
{

bool mayReadPipelined(const PipelineLimits &bounds, const PipelineLoad &load)
{
    if (load.closes) {
        return false;
    }
    return load.unanswered == 0 || (load.unanswered < bounds.perConnection && load.pipelinedOnNode < bounds.perNode);
}

bool mayStartPipelined(const PipelineLoad &load, bool repeatable)
{
    return load.unanswered == 0 || repeatable;
}

}
