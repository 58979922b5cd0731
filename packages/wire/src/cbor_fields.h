// Reading and writing of records as CBOR arrays: fields by position, every
// number and length checked against its bound.
#pragma once

#include "jasminecroft/core/types.h"
#include "jasminecroft/wire/codec_result.h"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jasminecroft::detail {

using cbor_value = nlohmann::json;

inline constexpr std::size_t MaxIdBytes = 256;

/// Keeps the first error of a decoding.
class decode_errors {
public:
  void note(codec_problem Problem, std::string Where) {
    if (!First)
      First = codec_error{Problem, std::move(Where)};
  }
  const std::optional<codec_error> &first() const { return First; }

private:
  std::optional<codec_error> First;
};

/// Takes the fields of one record in order. After an error it gives empty
/// values; the errors say what happened first.
class field_reader {
public:
  field_reader(const cbor_value &Record, const field_reader *Parent,
               std::string Name, decode_errors &Errors)
      : Record(Record), Parent(Parent), Name(std::move(Name)), Errors(Errors) {
    if (!Record.is_array())
      Errors.note(codec_problem::WrongType, path());
  }

  std::string text(const char *Field, std::size_t MaxBytes = MaxIdBytes) {
    const cbor_value *Value = take(Field);
    if (!Value)
      return {};
    if (!Value->is_string()) {
      Errors.note(codec_problem::WrongType, path(Field));
      return {};
    }
    const std::string &Text = Value->get_ref<const std::string &>();
    if (Text.size() > MaxBytes) {
      Errors.note(codec_problem::TooLarge, path(Field));
      return {};
    }
    return Text;
  }

  std::uint64_t
  number(const char *Field,
         std::uint64_t Max = std::numeric_limits<std::uint64_t>::max()) {
    const cbor_value *Value = take(Field);
    if (!Value)
      return 0;
    if (!Value->is_number_unsigned()) {
      Errors.note(codec_problem::WrongType, path(Field));
      return 0;
    }
    std::uint64_t Number = Value->get<std::uint64_t>();
    if (Number <= Max)
      return Number;
    Errors.note(codec_problem::OutOfRange, path(Field));
    return 0;
  }

  std::uint32_t number32(const char *Field) {
    return static_cast<std::uint32_t>(
        number(Field, std::numeric_limits<std::uint32_t>::max()));
  }

  std::int64_t signedNumber(const char *Field) {
    const cbor_value *Value = take(Field);
    if (!Value)
      return 0;
    if (!Value->is_number_integer()) {
      Errors.note(codec_problem::WrongType, path(Field));
      return 0;
    }
    if (!Value->is_number_unsigned())
      return Value->get<std::int64_t>();
    std::uint64_t Number = Value->get<std::uint64_t>();
    if (Number <= MaxSigned)
      return static_cast<std::int64_t>(Number);
    Errors.note(codec_problem::OutOfRange, path(Field));
    return 0;
  }

  bool flag(const char *Field) {
    const cbor_value *Value = take(Field);
    if (!Value)
      return false;
    if (Value->is_boolean())
      return Value->get<bool>();
    Errors.note(codec_problem::WrongType, path(Field));
    return false;
  }

  template <typename Enum> Enum choice(const char *Field, Enum Last) {
    return static_cast<Enum>(number(Field, static_cast<std::uint64_t>(Last)));
  }

  template <typename Id>
  void id(const char *Field, Id &Out, std::size_t MaxBytes = MaxIdBytes) {
    Out = Id(text(Field, MaxBytes));
  }
  template <typename Number> void version(const char *Field, Number &Out) {
    Out = Number(number(Field));
  }

  /// A list of records, each read by Read(reader, element).
  template <typename Element, typename Reader>
  void list(const char *Field, std::vector<Element> &Out, std::size_t MaxCount,
            const Reader &Read) {
    const cbor_value *Value = take(Field);
    if (!Value)
      return;
    if (!Value->is_array()) {
      Errors.note(codec_problem::WrongType, path(Field));
      return;
    }
    if (Value->size() > MaxCount) {
      Errors.note(codec_problem::OutOfRange, path(Field));
      return;
    }
    Out.reserve(Value->size());
    for (std::size_t I = 0; I < Value->size() && !Errors.first(); ++I) {
      field_reader Inner((*Value)[I], this, Field, Errors);
      Read(Inner, Out.emplace_back());
      Inner.end();
    }
  }

  /// One record.
  template <typename Element, typename Reader>
  void record(const char *Field, Element &Out, const Reader &Read) {
    const cbor_value *Value = take(Field);
    if (!Value)
      return;
    field_reader Inner(*Value, this, Field, Errors);
    Read(Inner, Out);
    Inner.end();
  }

  /// A record or null.
  template <typename Element, typename Reader>
  void maybe(const char *Field, std::optional<Element> &Out,
             const Reader &Read) {
    if (skipNull())
      return;
    record(Field, Out.emplace(), Read);
  }
  void maybeText(const char *Field, std::optional<std::string> &Out,
                 std::size_t MaxBytes) {
    if (!skipNull())
      Out = text(Field, MaxBytes);
  }
  template <typename Id>
  void maybeId(const char *Field, std::optional<Id> &Out) {
    if (!skipNull())
      Out = Id(text(Field));
  }

  /// Refuses fields that nobody has taken.
  void end() {
    if (Record.is_array() && Next < Record.size())
      Errors.note(codec_problem::UnknownMember, path());
  }

private:
  static constexpr std::uint64_t MaxSigned =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

  const cbor_value *take(const char *Field) {
    if (Errors.first())
      return nullptr;
    if (Next < Record.size())
      return &Record[Next++];
    Errors.note(codec_problem::Missing, path(Field));
    return nullptr;
  }

  bool skipNull() {
    if (Errors.first() || Next >= Record.size() || !Record[Next].is_null())
      return false;
    ++Next;
    return true;
  }

  std::string path() const {
    return Parent ? Parent->path() + "." + Name : Name;
  }
  std::string path(const char *Field) const { return path() + "." + Field; }

  const cbor_value &Record;
  const field_reader *Parent;
  std::string Name;
  decode_errors &Errors;
  std::size_t Next = 0;
};

/// Writes a list of records, each by Write(element).
template <typename List, typename Writer>
cbor_value writeList(const List &Elements, const Writer &Write) {
  cbor_value Out = cbor_value::array();
  for (const typename List::value_type &Element : Elements)
    Out.push_back(Write(Element));
  return Out;
}

/// Writes the fields of one record.
template <typename... Fields> cbor_value writeRecord(Fields &&...Values) {
  cbor_value Out = cbor_value::array();
  (Out.push_back(cbor_value(std::forward<Fields>(Values))), ...);
  return Out;
}

} // namespace jasminecroft::detail
