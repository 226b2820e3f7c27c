#include "wire/packedtext.h"

#include "wire/frame.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace shallotrelay
{
namespace
{

namespace zlib = boost::beast::zlib;

/// The fastest level: higher ones save a fifth of the bytes and take several times as long.
constexpr int Level = 1;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;
/// Room for the last block, which the bound of the library leaves out.
constexpr std::size_t EndBytes = 16;
/// Bytes after a packed text that let the library look ahead; their bits are no end of a block.
constexpr std::size_t PaddingBytes = 4;
constexpr char Padding = '\xff';

zlib::z_params paramsOf(std::string_view in, std::string *out)
{
    zlib::z_params params{};
    params.next_in = in.data();
    params.avail_in = in.size();
    params.next_out = out->data();
    params.avail_out = out->size();
    return params;
}

}

std::string packText(std::string_view text)
{
    zlib::deflate_stream stream;
    stream.reset(Level, WindowBits, MemoryLevel, zlib::Strategy::normal);
    std::string out(stream.upper_bound(text.size()) + EndBytes, '\0');
    zlib::z_params params = paramsOf(text, &out);
    boost::system::error_code ec;
    stream.write(params, zlib::Flush::finish, ec);
    out.resize(params.total_out);
    return out;
}

absl::StatusOr<std::string> unpackText(std::string_view packed, std::size_t bytes)
{
    if (bytes > MaxFramePayloadBytes) {
        return absl::InvalidArgumentError("a packed text is above the bound");
    }
    zlib::inflate_stream stream;
    // The library sees the end of a stream only with room for more output and more input.
    std::string out(bytes + 1, '\0');
    const std::string padded = std::string(packed) + std::string(PaddingBytes, Padding);
    zlib::z_params params = paramsOf(padded, &out);
    boost::system::error_code ec;
    stream.write(params, zlib::Flush::finish, ec);
    const bool whole
        = ec == zlib::error::end_of_stream && params.total_out == bytes && params.total_in >= packed.size();
    if (!whole) {
        return absl::InvalidArgumentError("a packed text is damaged");
    }
    out.resize(bytes);
    return out;
}

}
