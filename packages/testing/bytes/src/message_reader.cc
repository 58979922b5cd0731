// Head lines, lengths and chunks.
#include "message_reader.h"

#include <algorithm>
#include <charconv>

namespace jasminecroft::bytes {

namespace {

constexpr std::string_view LineEnd = "\r\n";

std::string_view trimmed(std::string_view Text) {
  std::size_t First = Text.find_first_not_of(" \t\r\n");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t\r\n") - First + 1);
}

bool sameWord(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) {
                      return (A >= 'A' && A <= 'Z' ? A + 32 : A) ==
                             (B >= 'A' && B <= 'Z' ? B + 32 : B);
                    });
}

std::optional<std::size_t> number(std::string_view Text, int Base) {
  std::size_t Value = 0;
  const char *End = Text.data() + Text.size();
  std::from_chars_result Result =
      std::from_chars(Text.data(), End, Value, Base);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

struct framing {
  std::optional<std::size_t> Length;
  bool Chunked = false;
  bool Unclear = false;
};

void readField(std::string_view Line, framing &Framing) {
  std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return;
  std::string_view Name = Line.substr(0, Colon);
  std::string_view Value = trimmed(Line.substr(Colon + 1));
  if (sameWord(Name, "content-length")) {
    std::optional<std::size_t> Length = number(Value, 10);
    if (!Length || (Framing.Length && Framing.Length != Length))
      Framing.Unclear = true;
    Framing.Length = Length;
  } else if (sameWord(Name, "transfer-encoding")) {
    if (Framing.Chunked || !sameWord(Value, "chunked"))
      Framing.Unclear = true;
    Framing.Chunked = true;
  }
}

std::optional<read_message> readChunks(std::string_view Text,
                                       std::size_t Begin) {
  read_message Message;
  std::size_t At = Begin;
  while (true) {
    std::size_t End = Text.find(LineEnd, At);
    if (End == std::string_view::npos)
      return std::nullopt;
    std::string_view Size = Text.substr(At, End - At);
    Size = trimmed(Size.substr(0, Size.find(';')));
    std::optional<std::size_t> Bytes = number(Size, 16);
    if (!Bytes)
      return std::nullopt;
    At = End + LineEnd.size();
    if (*Bytes == 0)
      break;
    if (Text.size() - At < LineEnd.size() ||
        *Bytes > Text.size() - At - LineEnd.size() ||
        Text.substr(At + *Bytes, LineEnd.size()) != LineEnd)
      return std::nullopt;
    Message.Body += Text.substr(At, *Bytes);
    At += *Bytes + LineEnd.size();
  }
  // Trailers end with an empty line.
  while (true) {
    std::size_t End = Text.find(LineEnd, At);
    if (End == std::string_view::npos)
      return std::nullopt;
    bool Last = End == At;
    At = End + LineEnd.size();
    if (Last)
      break;
  }
  Message.End = At;
  return Message;
}

} // namespace

std::optional<read_message> readMessage(std::string_view Text,
                                        message_kind Kind) {
  std::size_t HeadEnd = Text.find("\r\n\r\n");
  if (HeadEnd == std::string_view::npos)
    return std::nullopt;
  framing Framing;
  std::size_t At = Text.find(LineEnd) + LineEnd.size();
  while (At < HeadEnd) {
    std::size_t End = std::min(Text.find(LineEnd, At), HeadEnd);
    readField(Text.substr(At, End - At), Framing);
    At = End + LineEnd.size();
  }
  std::size_t Begin = HeadEnd + 2 * LineEnd.size();
  if (Framing.Unclear || (Framing.Chunked && Framing.Length))
    return std::nullopt;
  if (Framing.Chunked)
    return readChunks(Text, Begin);
  bool UntilClose = Kind == message_kind::Answer && !Framing.Length;
  std::size_t Length =
      UntilClose ? Text.size() - Begin : Framing.Length.value_or(0);
  if (Length > Text.size() - Begin)
    return std::nullopt;
  return read_message{Begin + Length, std::string(Text.substr(Begin, Length))};
}

} // namespace jasminecroft::bytes
