#include "base/jsontext.h"

namespace shallotrelay
{

bool isNestedDeeper(std::string_view json, int levels)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < json.size(); ++i) {
        const char c = json[i];
        if (inString) {
            i += c == '\\' ? 1 : 0;
            inString = c != '"';
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            ++depth;
        } else if (c == ']' || c == '}') {
            --depth;
        }
        if (depth > levels) {
            return true;
        }
    }
    return false;
}

}
