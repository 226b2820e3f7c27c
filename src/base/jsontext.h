/// Checks of JSON text before it is parsed.
#pragma once

#include <string_view>

namespace shallotrelay
{

/// Returns whether arrays and objects of a JSON text are nested deeper than this number of levels; the text may be
/// malformed. Check text from other writers with it: the parser keeps a level in memory for each bracket, and copying
/// or writing the parsed value takes stack for each level.
bool isNestedDeeper(std::string_view json, int levels);

}
