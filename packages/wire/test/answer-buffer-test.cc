// Lines of heads that begin with a blank, in an answer that is consumed in
// parts of any size.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/wire/answer_buffer.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

using namespace jasminecroft;

namespace {

/// Whether the buffer says so when Text is consumed in parts of Size bytes.
bool hasFoldedLine(const std::string &Text, std::size_t Size) {
  answer_buffer Buffer{Text.size()};
  Buffer.commit(boost::asio::buffer_copy(Buffer.prepare(Text.size()),
                                         boost::asio::buffer(Text)));
  Buffer.expectHead();
  while (Buffer.size() > 0)
    Buffer.consume(std::min(Size, Buffer.size()));
  return Buffer.hasFoldedLine();
}

} // namespace

TEST_CASE("only lines of the head that begin with a blank or tab count") {
  for (std::size_t Size = 1; Size < 64; ++Size)
    for (const std::string Line :
         {" X-Odd: value\r\n", "\tX-Odd: value\r\n", "  X-Odd: value\r\n"}) {
      CAPTURE(Size);
      CAPTURE(Line);
      CHECK(hasFoldedLine("HTTP/1.1 200 OK\r\n" + Line + "\r\n", Size));
      CHECK(hasFoldedLine(
          "HTTP/1.1 200 OK\r\nX-Even: value\r\n" + Line + "\r\n", Size));
      CHECK_FALSE(hasFoldedLine("HTTP/1.1 200 OK\r\n\r\n" + Line, Size));
      CHECK_FALSE(hasFoldedLine(
          "HTTP/1.1 200 OK\r\nX-Even:" + Line + "\r\nbody", Size));
    }
}

TEST_CASE("each head is looked at for itself") {
  const std::string Odd = "HTTP/1.1 102 Processing\r\n X-Odd: value\r\n\r\n";
  const std::string Even = "HTTP/1.1 200 OK\r\nX-Even: value\r\n\r\n";
  answer_buffer Buffer{Odd.size() + Even.size()};
  Buffer.commit(
      boost::asio::buffer_copy(Buffer.prepare(Odd.size() + Even.size()),
                               boost::asio::buffer(Odd + Even)));
  Buffer.expectHead();
  Buffer.consume(Odd.size());
  CHECK(Buffer.hasFoldedLine());
  Buffer.expectHead();
  Buffer.consume(Even.size());
  CHECK_FALSE(Buffer.hasFoldedLine());
}
