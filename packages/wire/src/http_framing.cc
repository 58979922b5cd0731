// Framing by transfer coding or length.
#include "jasminecroft/wire/http_framing.h"

namespace jasminecroft {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned Http11 = 11;

} // namespace

bool hasClearFraming(const http::fields &Headers, unsigned Version) {
  std::size_t Codings = Headers.count(http::field::transfer_encoding);
  if (Codings == 0)
    return true;
  return Codings == 1 && Version >= Http11 &&
         beast::iequals(Headers[http::field::transfer_encoding], "chunked") &&
         Headers.count(http::field::content_length) == 0;
}

} // namespace jasminecroft
