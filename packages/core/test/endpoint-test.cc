// Addresses of hosts and servers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/endpoint.h"

#include <doctest/doctest.h>

using namespace jasminecroft;

TEST_CASE("endpoints need a number address and a port") {
  CHECK(splitEndpoint(endpoint("127.0.0.1:80"))->Port == 80);
  CHECK(splitEndpoint(endpoint("[::1]:80"))->Address == "::1");
  for (const char *Bad : {"", "127.0.0.1", "127.0.0.1:", "localhost:80",
                          "127.0.0.1:65536", "::1:80", "127.0.0.1:8x"})
    CHECK_FALSE(splitEndpoint(endpoint(Bad)).has_value());
}
