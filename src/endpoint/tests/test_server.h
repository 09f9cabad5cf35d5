/** A small blocking TCP server for the tests of the HTTP clients; every connection has a thread of its own. */
#pragma once

#include "blackboard/id_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <linux/filter.h>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace Tanagertally {

/** One accepted connection, driven by a test's script. */
class ServerConnection
{
public:
    explicit ServerConnection(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }
    /** @return The next request, header and body; empty when the client has closed. */
    std::string readRequest()
    {
        boost::system::error_code error;
        const std::size_t headerBytes
            = boost::asio::read_until(this->socket, boost::asio::dynamic_buffer(this->received), "\r\n\r\n", error);
        if (error) {
            return {};
        }
        std::size_t bodyBytes = 0;
        const std::size_t field = this->received.find("Content-Length: ");
        if (field < headerBytes) {
            bodyBytes = std::stoul(this->received.substr(field + 16));
        }
        const std::size_t wanted = headerBytes + bodyBytes;
        if (this->received.size() < wanted) {
            boost::asio::read(this->socket, boost::asio::dynamic_buffer(this->received),
                              boost::asio::transfer_exactly(wanted - this->received.size()), error);
        }
        std::string request = this->received.substr(0, wanted);
        this->received.erase(0, wanted);
        return request;
    }
    void send(const std::string &text)
    {
        boost::system::error_code ignored;
        boost::asio::write(this->socket, boost::asio::buffer(text), ignored);
    }
    void answer(const std::string &status, const std::string &body, const std::string &fields = {})
    {
        this->send("HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body);
    }
    /** Wait for the first byte of a request and leave the rest unread. */
    void awaitByte()
    {
        char byte = 0;
        boost::system::error_code ignored;
        this->socket.read_some(boost::asio::buffer(&byte, 1), ignored);
    }
    /** Wait without reading a request until the client or the server has closed. */
    void awaitClose()
    {
        char byte = 0;
        boost::system::error_code error;
        while (!error) {
            this->socket.read_some(boost::asio::buffer(&byte, 1), error);
        }
    }
    /** Drop all that the client sends from now on in the kernel, as a network that has lost track of the connection does. */
    void goSilent()
    {
        sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
        const sock_fprog program{1, &dropAll};
        ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
    }
    void shutDown()
    {
        ::shutdown(this->socket.native_handle(), SHUT_RDWR);
    }

private:
    boost::asio::ip::tcp::socket socket; ///< The connection.
    std::string received; ///< Bytes read and not yet returned.
};

/** Serves on a free loopback port and runs a script for each connection; its number counts from 0. */
class TestServer
{
public:
    using Script = std::function<void(ServerConnection &, int)>; ///< Ends with the connection's close.

    explicit TestServer(Script connectionScript)
        : script(std::move(connectionScript))
        , acceptor(io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , port(acceptor.local_endpoint().port())
        , acceptThread([this] { this->acceptAll(); })
    {
    }
    ~TestServer()
    {
        ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
        this->acceptThread.join();
        for (ServerConnection &connection : this->connections) {
            connection.shutDown();
        }
        this->threads.clear();
    }
    NetAddress address() const
    {
        return NetAddress("127.0.0.1:" + std::to_string(this->port));
    }

    std::atomic<int> accepted = 0; ///< Connections accepted so far.

private:
    void acceptAll()
    {
        while (true) {
            boost::system::error_code error;
            auto socket = this->acceptor.accept(error);
            if (error) {
                return;
            }
            ServerConnection &connection = this->connections.emplace_back(std::move(socket));
            this->threads.emplace_back([this, &connection, number = this->accepted++] {
                this->script(connection, number);
                connection.shutDown();
            });
        }
    }

    Script script; ///< Runs for each connection.
    boost::asio::io_context io; ///< Only to own the sockets; never run.
    boost::asio::ip::tcp::acceptor acceptor; ///< Listens.
    unsigned short port; ///< Port it listens on.
    std::list<ServerConnection> connections; ///< All connections; the accepting thread adds to it.
    std::list<std::jthread> threads; ///< A thread for each connection; destroyed before the connections.
    std::thread acceptThread; ///< Accepts.
};

/** An io_context that runs on threads of its own until this is destroyed. */
class RunningIo
{
public:
    explicit RunningIo(int threadCount)
        : guard(context.get_executor())
    {
        for (int i = 0; i < threadCount; ++i) {
            this->threads.emplace_back([this] { this->context.run(); });
        }
    }
    ~RunningIo()
    {
        this->context.stop();
    }

    boost::asio::io_context context; ///< The context.

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard; ///< Keeps it running.
    std::list<std::jthread> threads; ///< Run it.
};

} // namespace Tanagertally
