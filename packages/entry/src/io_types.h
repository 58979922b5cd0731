// Sockets and timers bound to the io_context's own executor type: the
// polymorphic default costs an allocation or two per operation.
#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace jasminecroft::detail {

using io_executor = boost::asio::io_context::executor_type;
using tcp_socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, io_executor>;
using tcp_acceptor =
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, io_executor>;
using io_timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>, io_executor>;

} // namespace jasminecroft::detail
