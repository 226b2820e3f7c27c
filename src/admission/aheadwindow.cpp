#include "shallotrelay/admission/aheadwindow.h"

namespace shallotrelay
{

bool mayReadAhead(const AheadBounds &bounds, const AheadLoad &load)
{
    if (load.closes) {
        return false;
    }
    return load.unanswered == 0 || (load.unanswered < bounds.perConnection && load.aheadOnNode < bounds.perNode);
}

bool mayStartAhead(const AheadLoad &load, bool repeatable)
{
    return load.unanswered == 0 || repeatable;
}

}
