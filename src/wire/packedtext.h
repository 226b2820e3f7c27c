/// Text that is compressed on its way between processes: states of operators, which repeat themselves a lot.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace shallotrelay
{

/// Returns the text as a raw DEFLATE stream (RFC 1951).
std::string packText(std::string_view text);

/// Returns the text that was packed, which must have exactly the given number of bytes, at most MaxFramePayloadBytes;
/// anything else is an InvalidArgument error.
absl::StatusOr<std::string> unpackText(std::string_view packed, std::size_t bytes);

}
