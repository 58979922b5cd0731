// Reads typed members out of parsed JSON and remembers the first error with
// its path, so that decoders read straight on and ask once at the end.
#pragma once

#include "jasminecroft/core/types.h"
#include "jasminecroft/wire/codec_result.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminecroft::detail {

/// The first error of one decoding; later ones are consequences.
class decode_state {
public:
  void fail(codec_problem Problem, std::string Where);
  const std::optional<codec_error> &error() const { return Error; }

private:
  std::optional<codec_error> Error;
};

/// A JSON value with its path. Reading after an error gives empty values.
class json_reader {
public:
  json_reader(const boost::json::value *Value, std::string Path,
              decode_state &State)
      : Value(Value), Path(std::move(Path)), State(&State) {}

  const std::string &path() const { return Path; }
  bool has(std::string_view Name) const;
  json_reader member(std::string_view Name) const;
  std::vector<json_reader> elements() const;
  /// Members of an object, each with its name.
  struct named_reader;
  std::vector<named_reader> members() const;
  /// Fails for members that are not in the list.
  void allowOnly(std::initializer_list<std::string_view> Names) const;

  std::string text() const;
  bool boolean() const;
  std::int64_t integer(std::int64_t Minimum, std::int64_t Maximum) const;
  std::uint64_t unsignedInteger() const;
  wall_time time() const;
  void fail(codec_problem Problem) const { State->fail(Problem, Path); }

  template <typename Id> Id id(std::string_view Name) const {
    return Id(member(Name).text());
  }
  template <typename Number> Number number(std::string_view Name) const {
    return Number(member(Name).unsignedInteger());
  }
  template <typename Id>
  std::optional<Id> optionalId(std::string_view Name) const {
    if (!has(Name))
      return std::nullopt;
    return id<Id>(Name);
  }

private:
  const boost::json::object *object() const;

  /// Null after an error.
  const boost::json::value *Value;
  std::string Path;
  decode_state *State;
};

struct json_reader::named_reader {
  std::string Name;
  json_reader Reader;
};

/// Parses JSON, comments allowed; an error is in State.
boost::json::value parseJson(std::string_view Text, decode_state &State);

} // namespace jasminecroft::detail
