/** Blocking TCP server for tests of the HTTP clients; each connection has a thread of its own. */
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

/** Accepted connection, used by the script of a test. */
class ServerConnection
{
public:
    explicit ServerConnection(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }
    /** @return The next request, header and body; empty if the client has closed the connection. */
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
    /** Read one byte of a request and leave the rest unread. */
    void readFirstByte()
    {
        char byte = 0;
        boost::system::error_code ignored;
        this->socket.read_some(boost::asio::buffer(&byte, 1), ignored);
    }
    /** Discard received data until the client or the server closes the connection. */
    void awaitClose()
    {
        char byte = 0;
        boost::system::error_code error;
        while (!error) {
            this->socket.read_some(boost::asio::buffer(&byte, 1), error);
        }
    }
    /** Make the kernel drop all further packets from the client, as on a network that no longer routes the connection. */
    void dropIncomingPackets()
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
    boost::asio::ip::tcp::socket socket;
    std::string received; ///< Bytes that are read and not yet returned.
};

/** Server on a free loopback port that runs a script for each connection. */
class TestServer
{
public:
    using Script = std::function<void(ServerConnection &, int)>; ///< Called with a connection and its number from 0; the connection is shut
                                                                 ///< down when it returns.

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

    std::atomic<int> accepted = 0; ///< Number of accepted connections.

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

    Script script; ///< Called for each connection on a thread of its own.
    boost::asio::io_context io; ///< Required by the sockets; never run, as all operations are blocking.
    boost::asio::ip::tcp::acceptor acceptor; ///< Listening socket.
    unsigned short port; ///< Port of the listening socket.
    std::list<ServerConnection> connections; ///< All accepted connections; appended to by `acceptThread`.
    std::list<std::jthread> threads; ///< One thread for each connection; destroyed before the connections.
    std::thread acceptThread; ///< Runs acceptAll().
};

/** Runs an io_context on threads of its own until destruction. */
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

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard; ///< Keeps run() from returning while there is no work.
    std::list<std::jthread> threads; ///< Threads that call run().
};

} // namespace Tanagertally
