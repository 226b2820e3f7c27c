/// Conversions between the text types of the standard library and of absl.
#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace shallotrelay
{

/// Returns the same text as absl's own view type, which absl::Status takes.
inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the same text as the standard view type.
inline std::string_view toStd(absl::string_view text)
{
    return {text.data(), text.size()};
}

}
