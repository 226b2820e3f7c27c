/// Framing of messages between shallotrelay processes: a length, a type byte and the encoded message.
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

/// Size of a frame header (length and type byte), in bytes.
inline constexpr std::size_t FrameHeaderBytes = 5;

/// Default maximum payload of a frame, in bytes.
inline constexpr std::size_t MaxFramePayloadBytes = 4 * 1024 * 1024;

/// Maximum payload of a frame of a request or response between nodes, in bytes.
inline constexpr std::size_t MaxExchangePayloadBytes = 128 * 1024;

/// The header of a frame.
struct FrameHeader {
    std::uint8_t type = 0; ///< The type byte of the message.
    std::size_t payloadBytes = 0; ///< Size of the payload that follows the header, in bytes.
};

/// Parses a frame header of FrameHeaderBytes. Returns an InvalidArgument error if the size of the input is different,
/// the length is 0 or the payload exceeds the limit.
absl::StatusOr<FrameHeader> parseFrameHeader(std::string_view bytes,
                                             std::size_t maxPayloadBytes = MaxFramePayloadBytes);

/// Returns a message encoded as a complete frame.
template<class Message>
std::string encodeFrame(const Message &message);

/// Returns a message encoded without a frame header, for embedding in other messages.
template<class Message>
std::string encodePayload(const Message &message)
{
    return encodeFrame(message).substr(FrameHeaderBytes);
}

/// Decodes a payload; returns an InvalidArgument error if it is malformed or has bytes after the message.
template<class Message>
absl::StatusOr<Message> decodeMessage(std::string_view payload);

namespace internal
{

/// Writes the length and type byte into the first FrameHeaderBytes of a frame that already holds its payload.
void fillFrameHeader(std::string *frame, std::uint8_t type);

}

}
