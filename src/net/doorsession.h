/// One connection of a caller. Internal to the door.
#pragma once

#include "net/doorturn.h"
#include "shallotrelay/admission/pipelinewindow.h"

namespace shallotrelay
{

/// Reads the requests of one connection and starts each as soon as it may run.
class DoorSession
{
public:
    DoorSession(DoorContext &context, tcp::socket socket);

    /// Returns when the connection is over.
    asio::awaitable<void> run();

private:
    asio::awaitable<bool> waitForRequest();
    asio::awaitable<void> watchWhileBusy(bool mayRead);
    asio::awaitable<bool> readHead(DoorTurn &turn);
    asio::awaitable<void> start(std::shared_ptr<DoorTurn> turn);
    asio::awaitable<void> untilChanged();
    asio::awaitable<void> untilAnswered();
    asio::awaitable<void> lingerAndClose();
    PipelineLoad load() const;

    DoorConnection m_connection;
    bool m_served = false;
    bool m_inputWaits = false; // input has arrived that may not be read yet
};

}
