#pragma once

#include <hornbeamweir/http/http_server.hpp>
#include <hornbeamweir/http/memory_budget.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <optional>
#include <set>

namespace hornbeamweir
{

class http_session;

/// \brief State shared by all sessions of a server.
struct http_session_shared
{
    http_limits limits;
    http_handler handler;
    error_response_writer write_error;
    /// Null for no limit.
    std::shared_ptr<memory_budget> budget;
    /// Whether connections close after their next response.
    bool closing = false;
    /// Sessions whose request has not arrived completely.
    std::set<http_session*> waiting;
    std::uint64_t malformed = 0;
    /// Connections that were ended to make room for others.
    std::uint64_t evicted = 0;
    /// Requests that were rejected for want of memory.
    std::uint64_t shed = 0;
    std::uint64_t open = 0;
};

/// \brief One connection: reads a request, writes its response, and repeats.
class http_session final : public http_exchange,
                           public std::enable_shared_from_this<http_session>
{
public:
    http_session(
        boost::asio::ip::tcp::socket socket,
        std::shared_ptr<http_session_shared> shared);
    ~http_session() override;

    void start();

    /// \brief Closes the connection if no byte of a request has arrived.
    void close_if_idle();

    /// \brief Ends the connection while its request is being read. A caller
    /// that has sent a part of a request is told that it was not executed.
    /// \param code Tells the caller why.
    void evict(result_code code);
    /// \brief Whether any part of the next request has arrived.
    [[nodiscard]] bool has_received() const noexcept;
    /// \brief Whether the next request has arrived, but none of it was read.
    [[nodiscard]] bool has_unread_request() const;
    /// \brief Counts the connection as the one that was used last.
    void postpone_eviction() noexcept { reading_since_ = process_clock::now(); }
    [[nodiscard]] std::uint64_t served_requests() const noexcept
    {
        return served_requests_;
    }
    /// \brief Returns the bytes that are held for the connection.
    [[nodiscard]] std::size_t held_bytes() const noexcept
    {
        return charge_.bytes();
    }
    /// \brief Returns when a part of the request was last received.
    [[nodiscard]] time_point last_received_at() const noexcept
    {
        return last_received_at_;
    }
    /// \brief Returns since when the next request is waited for.
    [[nodiscard]] time_point reading_since() const noexcept
    {
        return reading_since_;
    }

    void send_head(unsigned status, header_list const& headers) override;
    void send_data(std::string bytes) override;
    void finish() override;
    void abort() override;
    void observe(
        std::function<void(std::size_t)> written,
        std::function<void()> disconnected) override;

private:
    enum class phase
    {
        reading,
        responding,
        closed
    };

    void read_request();
    void start_read_timer(duration limit);
    [[nodiscard]] std::size_t next_read_size() const;
    void read_more();
    void on_received(boost::system::error_code ec, std::size_t n);
    void parse();
    void on_header();
    void take_head();
    void send_continue();
    void on_request(boost::system::error_code ec);
    void reject(result_code code);
    void dispatch_request();
    void watch_caller();
    void enqueue(std::string bytes, std::size_t data_bytes);
    void write_next();
    void on_written(boost::system::error_code ec);
    void on_response_complete();
    /// Counts what the request needs; makes room for it if there is none.
    [[nodiscard]] bool reserve_request();
    void update_charge() noexcept;
    [[nodiscard]] std::size_t held_bytes_without_request() const noexcept;
    void close();
    void report_disconnect();

    struct pending_write
    {
        std::string bytes;
        std::size_t data_bytes;
    };

    boost::beast::tcp_stream stream_;
    std::shared_ptr<http_session_shared> shared_;
    boost::asio::steady_timer read_timer_;
    boost::beast::flat_buffer buffer_;
    /// The request being read; its body is that of the parser until it ends.
    http_request_message request_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    memory_charge charge_;
    /// Bytes of the request, with the copy that is sent to a backend server.
    std::size_t request_bytes_ = 0;
    std::size_t head_bytes_ = 0;
    std::size_t queued_bytes_ = 0;
    std::deque<pending_write> writes_;
    std::function<void(std::size_t)> written_;
    std::function<void()> disconnected_;
    phase phase_ = phase::reading;
    std::uint64_t served_requests_ = 0;
    time_point reading_since_{};
    time_point last_received_at_{};
    bool head_taken_ = false;
    bool sending_continue_ = false;
    unsigned version_ = 11;
    bool keep_alive_ = true;
    bool head_request_ = false;
    bool chunked_ = false;
    bool body_allowed_ = true;
    bool finished_ = false;
    bool first_request_ = true;
    bool read_timed_out_ = false;
};

} // namespace hornbeamweir
