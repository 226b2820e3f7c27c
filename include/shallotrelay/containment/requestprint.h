/// The identity of a request that all attempts of it share, whatever ids the attempts carry.
///
/// Two attempts are of the same request if method, path with query and body are the same; only the first part of a long
/// body counts. The same request from VMs of another service may have another outcome, so the print tells that, too.
/// Prints are cut from a cryptographic hash, so that nobody can make a request that has the print of somebody else's.
///
///     RequestPrinter printer(head);
///     printer.addBody(part);
///     RequestPrint print = printer.print();
#pragma once

#include "shallotrelay/messages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace shallotrelay
{

/// Bytes of a body that count for its print.
inline constexpr std::size_t PrintedBodyBytes = 64 * 1024;

/// Returns the print of a request without its body.
std::uint64_t printOfHead(const RequestHead &head);

/// Computes the print of one request while its body passes.
class RequestPrinter
{
public:
    explicit RequestPrinter(const RequestHead &head);
    ~RequestPrinter();

    RequestPrinter(const RequestPrinter &) = delete;
    RequestPrinter &operator=(const RequestPrinter &) = delete;

    /// Takes in the next part of the body.
    void addBody(std::string_view part);

    /// Returns the print of the request with the body so far.
    RequestPrint print() const;

private:
    struct Body;

    std::uint64_t m_head;
    std::string m_callerService;
    std::unique_ptr<Body> m_body;
};

/// Returns a print as 16 hexadecimal digits, for logs.
std::string toString(const RequestPrint &print);

}
