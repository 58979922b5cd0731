// The platform's object API, as an interface and over HTTP.
#pragma once

#include "jasminecroft/core/stored_objects.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace jasminecroft {

/// Asynchronous object API. Handlers run on the io_context, never inside call.
class object_api {
public:
  using result_handler = std::function<void(platform_result)>;

  virtual ~object_api() = default;
  /// Calls Done exactly once, with platform_no_answer after Timeout at latest.
  virtual void call(platform_operation Operation, core_duration Timeout,
                    result_handler Done) = 0;
};

/// Client of the object API at an "IP:port"; see docs/PROTOCOLS.md.
std::unique_ptr<object_api> makeHttpObjectApi(boost::asio::io_context &Context,
                                              const endpoint &Address);

} // namespace jasminecroft
