/// Conversions between std::string_view and absl::string_view.
#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace shallotrelay
{

/// Returns the text as an absl::string_view, the type that absl::Status takes.
inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the text as a std::string_view.
inline std::string_view toStd(absl::string_view text)
{
    return {text.data(), text.size()};
}

}
