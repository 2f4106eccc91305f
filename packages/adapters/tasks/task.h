#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chervilmount::adapters {

/** A coroutine on the process's single-threaded I/O context. */
template<typename Result = void>
using Task = boost::asio::awaitable<Result>;

/** Completion token that returns the error code in a tuple instead of throwing it. */
constexpr boost::asio::as_tuple_t<boost::asio::use_awaitable_t<>> AsTuple{};

} // namespace chervilmount::adapters
