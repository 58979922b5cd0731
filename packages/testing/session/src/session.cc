// Reads the events of a session and prints the actions.
#include "jasminecroft/testing/session.h"

#include "session_printer.h"

#include "jasminecroft/testing/session_fleet.h"

#include <algorithm>
#include <sstream>

#include <xxhash.h>

namespace jasminecroft::testing {

namespace {

using words = std::vector<std::string>;

words splitWords(const std::string &Line, char Separator) {
  words Words;
  std::istringstream Stream(Line);
  std::string Word;
  while (std::getline(Stream, Word, Separator))
    if (!Word.empty())
      Words.push_back(Word);
  return Words;
}

// Value of the word "Name=Value", if there is one.
std::optional<std::string> option(const words &Words, const std::string &Name) {
  for (const std::string &Word : Words)
    if (Word.starts_with(Name + "="))
      return Word.substr(Name.size() + 1);
  return std::nullopt;
}

std::optional<std::uint64_t> number(const words &Words, std::size_t Index) {
  if (Index >= Words.size() || Words[Index].empty() ||
      !std::all_of(Words[Index].begin(), Words[Index].end(),
                   [](unsigned char C) { return std::isdigit(C) != 0; }))
    return std::nullopt;
  return std::stoull(Words[Index]);
}

std::string wordAt(const words &Words, std::size_t Index) {
  return Index < Words.size() ? Words[Index] : std::string();
}

std::optional<event> parseRequest(const words &Words) {
  std::optional<std::uint64_t> Id = number(Words, 2);
  if (!Id)
    return std::nullopt;
  request_received Request;
  Request.Request = request_id(*Id);
  Request.Workspace = workspace_id("w");
  Request.Pipeline = pipeline_id("x");
  Request.Body = option(Words, "body").value_or("in");
  if (std::optional<std::string> Key = option(Words, "key"))
    Request.Key = idempotency_key(*Key);
  if (std::optional<std::string> Attempt = option(Words, "attempt"))
    Request.AttemptNumber = static_cast<std::uint32_t>(std::stoul(*Attempt));
  Request.Remaining = std::chrono::milliseconds(
      std::stoul(option(Words, "deadline").value_or("5000")));
  Request.Streamed =
      std::find(Words.begin(), Words.end(), "streamed") != Words.end();
  return Request;
}

std::optional<backend_error> parseError(const std::string &Name) {
  if (Name == "not_connected")
    return backend_error::NotConnected;
  if (Name == "refused")
    return backend_error::Refused;
  if (Name == "refused_leaving")
    return backend_error::RefusedLeaving;
  if (Name == "ran_and_failed")
    return backend_error::ExecutionFailed;
  if (Name == "broken")
    return backend_error::Broken;
  if (Name == "timed_out")
    return backend_error::TimedOut;
  return std::nullopt;
}

std::optional<event> parseAttemptEvent(const words &Words) {
  std::optional<std::uint64_t> Id = number(Words, 2);
  if (!Id)
    return std::nullopt;
  attempt_id Attempt(*Id);
  std::uint64_t Count = number(Words, 3).value_or(0);
  if (Words[1] == "succeed")
    return attempt_succeeded{Attempt, wordAt(Words, 3), 0, 0};
  if (Words[1] == "piece")
    return attempt_piece{Attempt, Count, wordAt(Words, 4)};
  if (Words[1] == "end") {
    std::string Whole = wordAt(Words, 4);
    return attempt_succeeded{Attempt, "", Count,
                             XXH3_64bits(Whole.data(), Whole.size())};
  }
  std::optional<backend_error> Error = parseError(wordAt(Words, 3));
  if (Words[1] != "fail" || !Error)
    return std::nullopt;
  return attempt_failed{Attempt, *Error, {}};
}

std::optional<event> parseHostEvent(const words &Words) {
  if (wordAt(Words, 1) == "request")
    return parseRequest(Words);
  if (wordAt(Words, 1) == "shutdown")
    return shutdown_requested{};
  if (wordAt(Words, 1) == "gone")
    return caller_disconnected{request_id(number(Words, 2).value_or(0))};
  return parseAttemptEvent(Words);
}

bool playPlatform(session_fleet &Fleet, const std::string &Fate) {
  if (Fate == "apply")
    return Fleet.decideClaimCall(platform_fate::Apply);
  if (Fate == "lose")
    return Fleet.decideClaimCall(platform_fate::Lose);
  if (Fate == "drop")
    return Fleet.decideClaimCall(platform_fate::Drop);
  if (Fate == "hold")
    return Fleet.decideClaimCall(platform_fate::Hold);
  if (Fate == "refuse")
    return Fleet.decideClaimCall(platform_fate::Refuse);
  return Fate == "late" && Fleet.applyHeldCall();
}

// Plays one line without its "> "; false if it cannot be played.
bool playLine(session_fleet &Fleet, const words &Words) {
  const std::string First = wordAt(Words, 0);
  if (First == "platform")
    return playPlatform(Fleet, wordAt(Words, 1));
  if (First == "deliver") {
    Fleet.deliverClaimMessages();
    return true;
  }
  if (First == "lose") {
    Fleet.loseClaimMessages();
    return true;
  }
  if (First == "pause") {
    Fleet.pause(std::chrono::milliseconds(number(Words, 1).value_or(0)));
    return true;
  }
  if (First == "advance") {
    Fleet.advance(std::chrono::milliseconds(number(Words, 1).value_or(0)));
    return true;
  }
  if (!Fleet.knows(First))
    return false;
  if (wordAt(Words, 1) == "restart") {
    Fleet.restart(First);
    return true;
  }
  std::optional<event> Event = parseHostEvent(Words);
  if (Event)
    Fleet.handle(First, *Event);
  return Event.has_value();
}

void printActions(session_fleet &Fleet, std::string &Out) {
  for (const host_action &Action : Fleet.takeActions()) {
    std::string Line = printAction(Action.Action);
    if (!Line.empty())
      Out += "  " + Action.Host + " " + Line + "\n";
  }
}

} // namespace

std::string playSession(const std::string &Text) {
  std::string Out;
  std::optional<session_fleet> Fleet;
  std::istringstream Lines(Text);
  std::string Line;
  while (std::getline(Lines, Line)) {
    if (Line.starts_with("  "))
      continue;
    Out += Line + "\n";
    if (Line.starts_with("setup ")) {
      words Words = splitWords(Line, ' ');
      Fleet.emplace(splitWords(option(Words, "hosts").value_or("e1"), ','),
                    option(Words, "pipeline").value_or("a"));
      continue;
    }
    if (!Line.starts_with("> "))
      continue;
    words Words = splitWords(Line.substr(2), ' ');
    if (!Fleet || !playLine(*Fleet, Words)) {
      Out += "  ! cannot be played\n";
      continue;
    }
    printActions(*Fleet, Out);
  }
  return Out;
}

} // namespace jasminecroft::testing
