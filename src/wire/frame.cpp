#include "wire/frame.h"

#include <fmt/format.h>

#include <cstring>

namespace shallotrelay
{

absl::StatusOr<FrameHeader> parseFrameHeader(std::string_view bytes, std::size_t maxPayloadBytes)
{
    if (bytes.size() != FrameHeaderBytes) {
        return absl::InvalidArgumentError("a frame header is incomplete");
    }
    std::uint32_t length = 0;
    std::memcpy(&length, bytes.data(), sizeof length);
    if (length == 0) {
        return absl::InvalidArgumentError("a frame is empty");
    }
    FrameHeader header;
    header.type = static_cast<std::uint8_t>(bytes[sizeof length]);
    header.payloadBytes = length - 1;
    if (header.payloadBytes > maxPayloadBytes) {
        return absl::InvalidArgumentError(
            fmt::format("a frame of {} bytes is above the bound of {}", length, maxPayloadBytes));
    }
    return header;
}

namespace internal
{

void fillFrameHeader(std::string *frame, std::uint8_t type)
{
    const auto length = static_cast<std::uint32_t>(frame->size() - FrameHeaderBytes + 1);
    std::memcpy(frame->data(), &length, sizeof length);
    (*frame)[sizeof length] = static_cast<char>(type);
}

}

}
