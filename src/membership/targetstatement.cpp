#include "shallotrelay/membership/targetstatement.h"

namespace shallotrelay
{

const char *toString(StatementSource source)
{
    switch (source) {
    case StatementSource::Response:
        return "response";
    case StatementSource::SlowdownProbe:
        return "slowdown-probe";
    case StatementSource::HealthProbe:
        return "health-probe";
    }
    return "invalid";
}

}
