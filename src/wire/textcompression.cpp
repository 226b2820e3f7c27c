#include "wire/textcompression.h"

#include "wire/frame.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace shallotrelay
{
namespace
{

namespace zlib = boost::beast::zlib;

/// The fastest compression level; higher ones save a fifth of the bytes and take several times as long.
constexpr int CompressionLevel = 1;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;
/// Space for the final block, which the library's upper_bound() does not include.
constexpr std::size_t FinalBlockBytes = 16;
/// Padding after the compressed text that the library needs for lookahead; its bits do not encode the end of a block.
constexpr std::size_t PaddingBytes = 4;
constexpr char Padding = '\xff';

zlib::z_params makeParams(std::string_view in, std::string *out)
{
    zlib::z_params params{};
    params.next_in = in.data();
    params.avail_in = in.size();
    params.next_out = out->data();
    params.avail_out = out->size();
    return params;
}

}

std::string compressText(std::string_view text)
{
    zlib::deflate_stream stream;
    stream.reset(CompressionLevel, WindowBits, MemoryLevel, zlib::Strategy::normal);
    std::string out(stream.upper_bound(text.size()) + FinalBlockBytes, '\0');
    zlib::z_params params = makeParams(text, &out);
    boost::system::error_code ec;
    stream.write(params, zlib::Flush::finish, ec);
    out.resize(params.total_out);
    return out;
}

absl::StatusOr<std::string> decompressText(std::string_view compressed, std::size_t bytes)
{
    if (bytes > MaxFramePayloadBytes) {
        return absl::InvalidArgumentError("packed text has a declared size of " + std::to_string(bytes)
                                          + " bytes, above the limit of " + std::to_string(MaxFramePayloadBytes)
                                          + " bytes");
    }
    zlib::inflate_stream stream;
    // The library detects the end of the stream only if both output space and input are left.
    std::string out(bytes + 1, '\0');
    const std::string padded = std::string(compressed) + std::string(PaddingBytes, Padding);
    zlib::z_params params = makeParams(padded, &out);
    boost::system::error_code ec;
    stream.write(params, zlib::Flush::finish, ec);
    const bool complete
        = ec == zlib::error::end_of_stream && params.total_out == bytes && params.total_in >= compressed.size();
    if (!complete) {
        return absl::InvalidArgumentError("packed text is damaged or does not have the declared size of "
                                          + std::to_string(bytes) + " bytes");
    }
    out.resize(bytes);
    return out;
}

}
