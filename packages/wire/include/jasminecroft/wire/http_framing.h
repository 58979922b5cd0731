// Checks of where an HTTP/1.1 message ends, beyond those of Beast, which takes
// a request with an unknown transfer coding as one without a body.
#pragma once

#include <boost/beast/http/fields.hpp>

namespace jasminecroft {

/// Whether the headers say without doubt where the body ends and what it is:
/// no transfer coding, or `chunked` alone and without a length. Version is
/// that of the message, 11 for HTTP/1.1.
bool hasClearFraming(const boost::beast::http::fields &Headers,
                     unsigned Version);

} // namespace jasminecroft
