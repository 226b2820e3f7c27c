#include "wire/frame.h"

#include <fmt/format.h>

#include <cstring>

namespace shallotrelay
{

absl::StatusOr<FrameHeader> parseFrameHeader(std::string_view bytes, std::size_t maxPayloadBytes)
{
    if (bytes.size() != FrameHeaderBytes) {
        return absl::InvalidArgumentError(
            fmt::format("frame header has {} bytes instead of {}", bytes.size(), FrameHeaderBytes));
    }
    std::uint32_t length = 0;
    std::memcpy(&length, bytes.data(), sizeof length);
    if (length == 0) {
        return absl::InvalidArgumentError("frame length is 0; the minimum is 1 byte for the message type");
    }
    FrameHeader header;
    header.type = static_cast<std::uint8_t>(bytes[sizeof length]);
    header.payloadBytes = length - 1;
    if (header.payloadBytes > maxPayloadBytes) {
        return absl::InvalidArgumentError(fmt::format("frame payload of {} bytes exceeds the limit of {} bytes",
                                                      header.payloadBytes, maxPayloadBytes));
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
