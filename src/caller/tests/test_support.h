/** Test support: I/O threads, a fake coordinator on its own thread, and a blocking HTTP client. */
#pragma once

#include "caller/caller_service.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <thread>

namespace Tanagertally::Testing {

using Json = nlohmann::json;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

/** An io_context with two threads that run it. */
class IoThreads
{
public:
    boost::asio::io_context io; ///< Run by `threads`.

    IoThreads()
    {
        for (int index = 0; index < 2; ++index) {
            this->threads.emplace_back([this] { this->io.run(); });
        }
    }
    ~IoThreads()
    {
        this->guard.reset();
        this->io.stop();
    }

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard = boost::asio::make_work_guard(io);
    std::vector<std::jthread> threads; ///< Run `io`.
};

/** Calls a function for each event of a queue, on its own thread. */
class EventThread
{
public:
    EventThread(EventQueue &queue, std::function<void(Event &)> onEvent)
        : thread([&queue, handleEvent = std::move(onEvent)](std::stop_token stop) {
            std::vector<Event> batch;
            while (!stop.stop_requested()) {
                queue.popAll(std::chrono::steady_clock::now() + std::chrono::milliseconds(20), batch);
                for (Event &event : batch) {
                    handleEvent(event);
                }
            }
        })
    {
    }

private:
    std::jthread thread; ///< Drains the queue.
};

/**
 * Fake coordinator: completes each job at once, with the payloads of its tasks as their outputs. The task kinds "busy", "doubt",
 * "fail" and "hold" select other replies.
 */
class EchoCoordinator
{
public:
    /** @return The reply to an event, or nothing if it has none. A job whose first task is of kind "hold" gets no reply. */
    std::optional<ReplyToCaller> handleEvent(Event &event)
    {
        if (auto *keys = std::get_if<KeysRequested>(&event)) {
            KeysIssued reply{{}, std::chrono::minutes(10)};
            for (std::uint32_t index = 0; index < keys->count; ++index) {
                reply.keys.emplace_back("issued-" + std::to_string(++this->issued));
            }
            return ReplyToCaller{keys->request, reply};
        }
        if (auto *submitted = std::get_if<JobSubmitted>(&event)) {
            return this->submit(*submitted);
        }
        if (auto *fetched = std::get_if<FetchRequested>(&event)) {
            return ReplyToCaller{fetched->request, this->find(fetched->key)};
        }
        if (auto *cancelled = std::get_if<CancelRequested>(&event)) {
            JobAnswer answer{cancelled->key, JobOutcome::Failed, ErrorCode::Cancelled, "cancelled by its caller", {TaskAnswer{}}};
            return ReplyToCaller{cancelled->request, answer};
        }
        return std::nullopt;
    }

private:
    std::optional<ReplyToCaller> submit(JobSubmitted &submitted)
    {
        const JobKey key = submitted.key.empty() ? JobKey("issued-" + std::to_string(++this->issued)) : submitted.key;
        const std::string &kind = submitted.job.tasks.front().kind.value;
        if (kind == "hold") {
            return std::nullopt;
        }
        if (kind == "busy") {
            const Refusal refusal{makeError(ErrorCode::Overloaded, "too much waits"), Verdict::NotRun, std::chrono::milliseconds(1200)};
            return ReplyToCaller{submitted.request, refusal};
        }
        if (kind == "doubt") {
            const Refusal refusal{makeError(ErrorCode::HomeLost, "its home is gone"), Verdict::MayHaveRun, std::nullopt};
            return ReplyToCaller{submitted.request, refusal};
        }
        const bool isFailing = kind == "fail";
        JobAnswer answer{
            key, isFailing ? JobOutcome::Failed : JobOutcome::Complete, ErrorCode::TaskFailed, isFailing ? "a task failed" : "", {}};
        for (const TaskSpec &task : submitted.job.tasks) {
            answer.tasks.push_back(TaskAnswer{Verdict::Ran, !isFailing, task.payload, isFailing ? "no such \"slot\"" : ""});
        }
        this->answers[key] = answer;
        if (submitted.job.mode == SubmitMode::Later) {
            return ReplyToCaller{submitted.request, JobAccepted{key}};
        }
        return ReplyToCaller{submitted.request, answer};
    }

    CallerReply find(const JobKey &key) const
    {
        const auto found = this->answers.find(key);
        if (found != this->answers.end()) {
            return found->second;
        }
        if (key.value == "night/2") {
            return JobStatus{key, JobState::Running, 3, 2, 1};
        }
        return Refusal{makeError(ErrorCode::NotFound, "nothing is known under this key", "key"), Verdict::NotRun, std::nullopt};
    }

    std::uint64_t issued = 0; ///< Keys issued so far.
    std::map<JobKey, JobAnswer> answers; ///< Answers of submitted jobs, for later fetches.
};

/** HTTP client on one connection, with blocking calls. */
class Client
{
public:
    explicit Client(const NetAddress &address)
        : socket(this->io)
    {
        const std::size_t colon = address.value.rfind(':');
        const auto port = static_cast<std::uint16_t>(std::stoul(address.value.substr(colon + 1)));
        this->socket.connect({boost::asio::ip::make_address(address.value.substr(0, colon)), port});
    }

    /** Sends raw bytes. */
    void send(std::string_view text)
    {
        boost::asio::write(this->socket, boost::asio::buffer(text));
    }

    /** Sends a request with a body. */
    void request(std::string_view line, std::string_view body = {}, std::string_view headers = {})
    {
        std::string text(line);
        text += " HTTP/1.1\r\nHost: test\r\n";
        text += headers;
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        text += body;
        this->send(text);
    }

    /** Reads one reply. */
    Response reply()
    {
        Response response;
        boost::beast::http::read(this->socket, this->buffer, response);
        return response;
    }

    /** Sends a request and reads its reply. */
    Response call(std::string_view line, std::string_view body = {}, std::string_view headers = {})
    {
        this->request(line, body, headers);
        return this->reply();
    }

    /** Waits for more bytes. @return Whether the server closed the connection without sending any. */
    bool isAtEnd()
    {
        char byte = 0;
        boost::system::error_code error;
        const std::size_t read = this->socket.read_some(boost::asio::buffer(&byte, 1), error);
        return read == 0 && error;
    }

    boost::asio::io_context io; ///< Required by `socket`; never run, as all calls block.
    boost::asio::ip::tcp::socket socket; ///< Connection to the server.

private:
    boost::beast::flat_buffer buffer; ///< Bytes received and not yet parsed.
};

} // namespace Tanagertally::Testing
