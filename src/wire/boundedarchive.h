/// cereal archives over memory with bounds checks: a length above the number of bytes left in the input is rejected
/// before any memory is allocated. Numbers are little-endian.
///
/// Include this only in source files that encode or decode messages.
#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace shallotrelay::internal
{

/// Thrown by an input archive on malformed input; the frame codec converts it to an absl::Status.
class DecodeError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Output archive that appends to a string.
class BoundedOutputArchive : public cereal::OutputArchive<BoundedOutputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedOutputArchive(std::string *out)
        : OutputArchive(this)
        , m_out(out)
    {
    }

    /// Appends raw bytes.
    void write(const void *data, std::size_t size)
    {
        m_out->append(static_cast<const char *>(data), size);
    }

private:
    std::string *m_out;
};

/// Input archive over a string view that throws DecodeError if the input is truncated.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::string_view input)
        : InputArchive(this)
        , m_input(input)
    {
    }

    /// Copies raw bytes from the input and advances past them; throws DecodeError if fewer are left.
    void read(void *data, std::size_t size)
    {
        if (size > m_input.size()) {
            throw DecodeError("message truncated: expected " + std::to_string(size) + " more bytes, got "
                              + std::to_string(m_input.size()));
        }
        std::memcpy(data, m_input.data(), size);
        m_input.remove_prefix(size);
    }

    /// Returns the number of unread bytes.
    std::size_t bytesLeft() const
    {
        return m_input.size();
    }

private:
    std::string_view m_input;
};

static_assert(std::endian::native == std::endian::little, "frames are little-endian");

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const T &value)
{
    archive.write(&value, sizeof value);
}

template<class T>
requires(std::is_arithmetic_v<T> && !std::is_same_v<T, bool>) void CEREAL_LOAD_FUNCTION_NAME(
    BoundedInputArchive &archive, T &value)
{
    archive.read(&value, sizeof value);
}

/// Reads a boolean; throws DecodeError for a byte other than 0 and 1.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, bool &value)
{
    std::uint8_t raw = 0;
    archive.read(&raw, sizeof raw);
    if (raw > 1) {
        throw DecodeError("message has a boolean of value " + std::to_string(raw) + ", neither 0 nor 1");
    }
    value = raw == 1;
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.write(data.data, static_cast<std::size_t>(data.size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const cereal::SizeTag<T> &tag)
{
    const auto size = static_cast<std::uint32_t>(tag.size);
    archive.write(&size, sizeof size);
}

/// Reads an element count; each element takes at least one byte, so a count above the number of bytes left is rejected.
template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<T> &tag)
{
    std::uint32_t size = 0;
    archive.read(&size, sizeof size);
    if (size > archive.bytesLeft()) {
        throw DecodeError("message has an element count above the number of bytes left");
    }
    tag.size = size;
}

}

CEREAL_REGISTER_ARCHIVE(shallotrelay::internal::BoundedOutputArchive)
CEREAL_REGISTER_ARCHIVE(shallotrelay::internal::BoundedInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(shallotrelay::internal::BoundedInputArchive, shallotrelay::internal::BoundedOutputArchive)
