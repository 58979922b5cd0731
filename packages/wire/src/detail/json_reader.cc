// Reading of typed members, and of times.
#include "detail/json_reader.h"

#include "jasminecroft/wire/json_codec.h"

#include <algorithm>
#include <boost/json/parse.hpp>

namespace jasminecroft::detail {

void decode_state::fail(codec_problem Problem, std::string Where) {
  if (!Error)
    Error = codec_error{Problem, std::move(Where)};
}

const boost::json::object *json_reader::object() const {
  if (!Value)
    return nullptr;
  const boost::json::object *Object = Value->if_object();
  if (!Object)
    fail(codec_problem::WrongType);
  return Object;
}

bool json_reader::has(std::string_view Name) const {
  const boost::json::object *Object = object();
  return Object && Object->if_contains(Name);
}

json_reader json_reader::member(std::string_view Name) const {
  std::string Inner = Path;
  if (!Inner.empty())
    Inner += '.';
  Inner += Name;
  const boost::json::object *Object = object();
  const boost::json::value *Found =
      Object ? Object->if_contains(Name) : nullptr;
  if (Object && !Found)
    State->fail(codec_problem::Missing, Inner);
  return {Found, std::move(Inner), *State};
}

std::vector<json_reader> json_reader::elements() const {
  std::vector<json_reader> Readers;
  if (!Value)
    return Readers;
  const boost::json::array *Array = Value->if_array();
  if (!Array) {
    fail(codec_problem::WrongType);
    return Readers;
  }
  for (std::size_t I = 0; I < Array->size(); ++I) {
    std::string Inner = Path + "[" + std::to_string(I) + "]";
    Readers.emplace_back(&(*Array)[I], std::move(Inner), *State);
  }
  return Readers;
}

std::vector<json_reader::named_reader> json_reader::members() const {
  std::vector<named_reader> Readers;
  const boost::json::object *Object = object();
  if (!Object)
    return Readers;
  for (const boost::json::key_value_pair &Member : *Object) {
    std::string Name(Member.key());
    Readers.push_back({Name, member(Name)});
  }
  return Readers;
}

void json_reader::allowOnly(
    std::initializer_list<std::string_view> Names) const {
  const boost::json::object *Object = object();
  if (!Object)
    return;
  for (const boost::json::key_value_pair &Member : *Object) {
    std::string_view Name = Member.key();
    if (std::find(Names.begin(), Names.end(), Name) == Names.end())
      State->fail(codec_problem::UnknownMember, member(Name).path());
  }
}

std::string json_reader::text() const {
  if (!Value)
    return {};
  const boost::json::string *Text = Value->if_string();
  if (!Text) {
    fail(codec_problem::WrongType);
    return {};
  }
  return std::string(Text->data(), Text->size());
}

bool json_reader::boolean() const {
  if (!Value)
    return false;
  const bool *Flag = Value->if_bool();
  if (!Flag)
    fail(codec_problem::WrongType);
  return Flag && *Flag;
}

std::int64_t json_reader::integer(std::int64_t Minimum,
                                  std::int64_t Maximum) const {
  if (!Value)
    return Minimum;
  const std::int64_t *Number = Value->if_int64();
  if (!Number) {
    fail(codec_problem::WrongType);
    return Minimum;
  }
  if (*Number < Minimum || *Number > Maximum)
    fail(codec_problem::OutOfRange);
  return *Number;
}

std::uint64_t json_reader::unsignedInteger() const {
  if (!Value)
    return 0;
  if (const std::uint64_t *Large = Value->if_uint64())
    return *Large;
  const std::int64_t *Number = Value->if_int64();
  if (!Number) {
    fail(codec_problem::WrongType);
    return 0;
  }
  if (*Number < 0) {
    fail(codec_problem::OutOfRange);
    return 0;
  }
  return static_cast<std::uint64_t>(*Number);
}

wall_time json_reader::time() const {
  std::string Text = text();
  if (!Value)
    return {};
  std::optional<wall_time> Time = parseWallTime(Text);
  if (!Time)
    fail(codec_problem::Malformed);
  return Time.value_or(wall_time{});
}

boost::json::value parseJson(std::string_view Text, decode_state &State) {
  boost::json::parse_options Options;
  Options.allow_comments = true;
  Options.allow_trailing_commas = true;
  boost::json::error_code Error;
  boost::json::value Value = boost::json::parse(Text, Error, {}, Options);
  if (Error)
    State.fail(codec_problem::Malformed, Error.message());
  return Value;
}

} // namespace jasminecroft::detail
