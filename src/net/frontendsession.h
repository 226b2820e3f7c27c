/// Session on one caller connection. Internal to the HTTP front end.
#pragma once

#include "net/frontendexchange.h"
#include "shallotrelay/admission/pipelinewindow.h"

namespace shallotrelay
{

/// Reads the requests of one connection and starts each one as soon as pipelining permits.
class FrontendSession
{
public:
    FrontendSession(FrontendContext &context, tcp::socket socket);

    /// Serves the connection; returns when it has ended.
    asio::awaitable<void> run();

private:
    asio::awaitable<bool> waitForRequest();
    asio::awaitable<void> waitForInputOrChange(bool mayRead);
    asio::awaitable<bool> readHead(FrontendExchange &exchange);
    asio::awaitable<void> start(std::shared_ptr<FrontendExchange> exchange);
    asio::awaitable<void> waitForChange();
    asio::awaitable<void> waitUntilIdle();
    asio::awaitable<void> lingerAndClose();
    PipelineLoad load() const;

    FrontendConnection m_connection;
    bool m_served = false;
    bool m_inputPending = false; // input has arrived that must not be read yet
};

}
