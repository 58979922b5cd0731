// Which headers leave no doubt of where a message ends.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/wire/http_framing.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
namespace http = boost::beast::http;

namespace {

constexpr unsigned Http10 = 10;
constexpr unsigned Http11 = 11;

http::fields withCoding(const char *Coding) {
  http::fields Headers;
  Headers.insert(http::field::transfer_encoding, Coding);
  return Headers;
}

} // namespace

TEST_CASE("a message without a transfer coding has a clear end") {
  http::fields Headers;
  CHECK(hasClearFraming(Headers, Http11));
  Headers.insert(http::field::content_length, "4");
  CHECK(hasClearFraming(Headers, Http11));
  CHECK(hasClearFraming(Headers, Http10));
}

TEST_CASE("chunked is the one transfer coding that is known") {
  CHECK(hasClearFraming(withCoding("chunked"), Http11));
  CHECK(hasClearFraming(withCoding("Chunked"), Http11));
  for (const char *Coding :
       {"", "identity", "gzip", "xchunked", "chunkedx", "chunked;q=1",
        "gzip, chunked", "chunked, chunked", "chunked, identity", "chunked,"}) {
    CAPTURE(std::string(Coding));
    CHECK_FALSE(hasClearFraming(withCoding(Coding), Http11));
  }
}

TEST_CASE("several statements about the end of a body contradict each other") {
  http::fields Twice = withCoding("chunked");
  Twice.insert(http::field::transfer_encoding, "chunked");
  CHECK_FALSE(hasClearFraming(Twice, Http11));
  http::fields WithLength = withCoding("chunked");
  WithLength.insert(http::field::content_length, "4");
  CHECK_FALSE(hasClearFraming(WithLength, Http11));
  CHECK_FALSE(hasClearFraming(withCoding("chunked"), Http10));
}
