// Small pages over HTTP: readiness for the balancer, metrics for operators.
#pragma once

#include "../io_types.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jasminecroft::detail {

struct page {
  unsigned Status = 200;
  std::string Body;
};

/// Answers each GET with what Handler says of its path.
class page_listener {
public:
  using handler = std::function<page(std::string_view Path)>;
  virtual ~page_listener() = default;
};

/// Null if the address cannot be listened on.
std::unique_ptr<page_listener>
makePageListener(boost::asio::io_context &Context,
                 const boost::asio::ip::tcp::endpoint &Address,
                 page_listener::handler Handler);

} // namespace jasminecroft::detail
