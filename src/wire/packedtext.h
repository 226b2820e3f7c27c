/// Compression of text in messages between processes, such as operators' intent documents, which are highly repetitive.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace shallotrelay
{

/// Compresses a text to a raw DEFLATE stream (RFC 1951).
std::string packText(std::string_view text);

/// Decompresses a text of a known size in bytes. Returns an InvalidArgument error if the size exceeds
/// MaxFramePayloadBytes, the input is not exactly one DEFLATE stream or the text has a different size.
absl::StatusOr<std::string> unpackText(std::string_view packed, std::size_t bytes);

}
