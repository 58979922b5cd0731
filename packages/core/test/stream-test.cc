// The stream assembler: order, completeness and identity of streamed text.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/detail/stream_assembler.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace jasminecroft::detail;

namespace {

std::uint64_t digestOf(const std::string &Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

// A stream assembler and the pieces sent to the caller.
struct stream {
  stream_assembler Assembler;
  std::vector<std::string> Sent;

  stream_status piece(stream_source &Source, std::uint64_t Sequence,
                      const std::string &Text) {
    return Assembler.onPiece(Source, Sequence, Text, Sent);
  }
  std::string text() const {
    std::string Text;
    for (const std::string &Piece : Sent)
      Text += Piece;
    return Text;
  }
};

} // namespace

TEST_CASE("pieces in order make a complete stream") {
  stream Stream;
  stream_source Source = Stream.Assembler.restart();
  CHECK(Stream.piece(Source, 0, "ab") == stream_status::Ok);
  CHECK(Stream.piece(Source, 1, "c") == stream_status::Ok);
  CHECK(Stream.Assembler.onEnd(Source, 2, digestOf("abc")) ==
        stream_status::Ok);
  CHECK(Stream.Assembler.digest() == digestOf("abc"));
  CHECK(Stream.Sent == std::vector<std::string>{"ab", "c"});
}

TEST_CASE("an empty stream is complete") {
  stream Stream;
  stream_source Source = Stream.Assembler.restart();
  CHECK(Stream.Assembler.onEnd(Source, 0, digestOf("")) == stream_status::Ok);
}

TEST_CASE("repeated pieces are dropped and reordered ones buffered") {
  stream Stream;
  stream_source Source = Stream.Assembler.restart();
  CHECK(Stream.piece(Source, 2, "c") == stream_status::Ok);
  CHECK(Stream.piece(Source, 2, "c") == stream_status::Stale);
  CHECK(Stream.Sent.empty());
  CHECK(Stream.piece(Source, 0, "a") == stream_status::Ok);
  CHECK(Stream.piece(Source, 0, "a") == stream_status::Stale);
  CHECK(Stream.piece(Source, 1, "b") == stream_status::Ok);
  CHECK(Stream.text() == "abc");
}

TEST_CASE("a stream with a gap or a wrong end is not complete") {
  stream Stream;
  stream_source Source = Stream.Assembler.restart();
  Stream.piece(Source, 0, "a");
  Stream.piece(Source, 2, "c");
  std::uint64_t Whole = digestOf("abc");
  CHECK(Stream.Assembler.onEnd(Source, 3, Whole) == stream_status::Broken);
  CHECK(Stream.Assembler.onEnd(Source, 1, Whole) == stream_status::Diverged);
  CHECK(Stream.Assembler.onEnd(Source, 0, digestOf("")) ==
        stream_status::Diverged);
}

TEST_CASE("too many pieces ahead break the attempt") {
  stream Stream;
  stream_source Source = Stream.Assembler.restart();
  for (std::uint64_t I = 1; I <= MaxReorderedPieces; ++I)
    CHECK(Stream.piece(Source, I, "x") == stream_status::Ok);
  CHECK(Stream.piece(Source, MaxReorderedPieces + 1, "x") ==
        stream_status::Broken);
}

TEST_CASE("a broken stream continues without gaps or duplicates") {
  stream Stream;
  stream_source First = Stream.Assembler.restart();
  Stream.piece(First, 0, "a");
  Stream.piece(First, 1, "b");
  SUBCASE("resumed") {
    stream_source Second = Stream.Assembler.resume();
    CHECK(Second.next() == 2);
    CHECK(Stream.piece(Second, 2, "c") == stream_status::Ok);
    CHECK(Stream.Assembler.onEnd(Second, 3, digestOf("abc")) ==
          stream_status::Ok);
  }
  SUBCASE("restarted") {
    stream_source Second = Stream.Assembler.restart();
    CHECK(Stream.piece(Second, 0, "a") == stream_status::Ok);
    CHECK(Stream.piece(Second, 1, "b") == stream_status::Ok);
    CHECK(Stream.piece(Second, 2, "c") == stream_status::Ok);
    CHECK(Stream.Assembler.onEnd(Second, 3, digestOf("abc")) ==
          stream_status::Ok);
  }
  CHECK(Stream.text() == "abc");
}

TEST_CASE("a restarted stream that differs is not mixed in") {
  stream Stream;
  stream_source First = Stream.Assembler.restart();
  Stream.piece(First, 0, "a");
  Stream.piece(First, 1, "b");
  stream_source Second = Stream.Assembler.restart();
  SUBCASE("in a piece") {
    CHECK(Stream.piece(Second, 0, "x") == stream_status::Diverged);
  }
  SUBCASE("in the boundaries of the pieces") {
    CHECK(Stream.piece(Second, 0, "ab") == stream_status::Diverged);
  }
  SUBCASE("by being shorter") {
    Stream.piece(Second, 0, "a");
    CHECK(Stream.Assembler.onEnd(Second, 1, digestOf("a")) ==
          stream_status::Diverged);
  }
  SUBCASE("detected only at the end of a resumed stream") {
    stream_source Third = Stream.Assembler.resume();
    Stream.piece(Third, 2, "c");
    CHECK(Stream.Assembler.onEnd(Third, 3, digestOf("xyc")) ==
          stream_status::Diverged);
    return;
  }
  CHECK(Stream.text() == "ab");
}

TEST_CASE("two attempts at once make one stream") {
  stream Stream;
  stream_source Slow = Stream.Assembler.restart();
  stream_source Fast = Stream.Assembler.restart();
  Stream.piece(Slow, 0, "a");
  Stream.piece(Fast, 0, "a");
  Stream.piece(Fast, 1, "b");
  CHECK(Stream.piece(Slow, 1, "b") == stream_status::Ok);
  CHECK(Stream.Assembler.onEnd(Slow, 2, digestOf("ab")) == stream_status::Ok);
  CHECK(Stream.Assembler.onEnd(Fast, 2, digestOf("ab")) == stream_status::Ok);
  CHECK(Stream.text() == "ab");
}

TEST_CASE("pieces in any order make the text or an incomplete stream") {
  setenv("RC_PARAMS", "seed=1", 0);
  bool Holds = rc::check([](const std::vector<std::string> &Pieces) {
    std::vector<std::size_t> Order;
    for (std::size_t I = 0; I < Pieces.size(); ++I)
      Order.push_back(*rc::gen::inRange<std::size_t>(0, Pieces.size()));
    std::string Whole;
    for (const std::string &Piece : Pieces)
      Whole += Piece;
    stream Stream;
    stream_source Source = Stream.Assembler.restart();
    for (std::size_t Index : Order)
      Stream.piece(Source, Index, Pieces[Index]);
    stream_status End =
        Stream.Assembler.onEnd(Source, Pieces.size(), digestOf(Whole));
    std::string Sent = Stream.text();
    RC_ASSERT(Whole.compare(0, Sent.size(), Sent) == 0);
    RC_ASSERT((End == stream_status::Ok) ==
              (Stream.Assembler.forwardedCount() == Pieces.size()));
  });
  CHECK(Holds);
}
