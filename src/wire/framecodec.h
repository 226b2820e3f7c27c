/// Template definitions of the frame codec; include this only in the generated source file that instantiates them for
/// each message.
#pragma once

#include "wire/boundedarchive.h"
#include "wire/frame.h"

namespace shallotrelay
{

template<class Message>
std::string encodeFrame(const Message &message)
{
    std::string frame(FrameHeaderBytes, '\0');
    internal::BoundedOutputArchive archive(&frame);
    archive(message);
    internal::fillFrameHeader(&frame, Message::FrameType);
    return frame;
}

template<class Message>
absl::StatusOr<Message> decodeMessage(std::string_view payload)
{
    Message message;
    try {
        internal::BoundedInputArchive archive(payload);
        archive(message);
        if (archive.bytesLeft() > 0) {
            return absl::InvalidArgumentError("message is followed by " + std::to_string(archive.bytesLeft())
                                              + " extra bytes");
        }
    } catch (const internal::DecodeError &error) {
        return absl::InvalidArgumentError(error.what());
    }
    return message;
}

}
