// Sends a large body over a narrow link in pieces, below the bandwidth of the link.
#include "shallotrelay/limits/linkpacer.h"

#include <iostream>

using namespace shallotrelay;

int main()
{
    constexpr double Bandwidth = 6e6 / 8; // bytes per second
    constexpr double PieceBytes = 8192;
    constexpr int Pieces = 8;
    LinkPacer pacer({.bytesPerSecond = Bandwidth});
    TimePoint now{};
    int sent = 0;
    for (LinkTicket ticket = 1; ticket <= Pieces; ++ticket) {
        pacer.wait({.ticket = ticket, .bytes = PieceBytes});
    }
    while (const auto next = pacer.nextGrantAt()) {
        now = std::max(now, *next); // a program sleeps until then
        sent += static_cast<int>(pacer.grant(now).size());
    }
    std::cout << sent << " pieces in " << toMilliseconds(now.time_since_epoch()) << " ms\n";
    return sent == Pieces ? 0 : 1;
}
