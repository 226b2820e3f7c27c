/// Frames between the system's processes: a length, a type byte and a message.
///
/// A frame is a 4-byte little-endian length, which counts the type byte and the payload, then the type byte, then the
/// payload. Use encodeFrame() to send a message; read FrameHeaderBytes, pass them to parseFrameHeader(), read the
/// payload and pass it to decodeMessage().
///
///     std::string bytes = encodeFrame(BodyChunk{"abc"});
///     auto header = parseFrameHeader(std::string_view(bytes).substr(0, FrameHeaderBytes));
///     auto chunk = decodeMessage<BodyChunk>(std::string_view(bytes).substr(FrameHeaderBytes));
#pragma once

#include "shallotrelay/messages.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace shallotrelay
{

/// Bytes of the length and the type byte.
inline constexpr std::size_t FrameHeaderBytes = 5;

/// Largest payload of a frame, in bytes.
inline constexpr std::size_t MaxFramePayloadBytes = 4 * 1024 * 1024;

/// Largest payload of a frame that belongs to an exchange between nodes, in bytes.
inline constexpr std::size_t MaxExchangePayloadBytes = 128 * 1024;

/// The header of a frame.
struct FrameHeader {
    std::uint8_t type = 0; ///< The type byte of the message.
    std::size_t payloadBytes = 0; ///< Bytes that follow the header.
};

/// Reads a header of FrameHeaderBytes; a length of 0 or above the bound is an error.
absl::StatusOr<FrameHeader> parseFrameHeader(std::string_view bytes,
                                             std::size_t maxPayloadBytes = MaxFramePayloadBytes);

/// Returns the whole frame of a message.
template<class Message>
std::string encodeFrame(const Message &message);

/// Returns the payload of a message alone, for messages that are carried within others.
template<class Message>
std::string encodePayload(const Message &message)
{
    return encodeFrame(message).substr(FrameHeaderBytes);
}

/// Returns the message of a payload, which must hold the message and no more.
template<class Message>
absl::StatusOr<Message> decodeMessage(std::string_view payload);

namespace internal
{

/// Puts the length and the type byte in front of the payload that follows FrameHeaderBytes.
void fillFrameHeader(std::string *frame, std::uint8_t type);

}

}
