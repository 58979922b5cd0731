// Characters of header values, names and targets (RFC 9110, 5.5 and 5.6.2).
#include "jasminecroft/core/field_text.h"

#include <algorithm>

namespace jasminecroft {

namespace {

bool isVisible(char Character) { return Character > ' ' && Character < 0x7f; }

bool isBlank(char Character) { return Character == ' ' || Character == '\t'; }

bool isControl(char Character) {
  unsigned char Code = static_cast<unsigned char>(Character);
  return (Code < 0x20 && Character != '\t') || Code == 0x7f;
}

} // namespace

bool isFieldText(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes && fitsInLine(Text) &&
         !isBlank(Text.front()) && !isBlank(Text.back());
}

bool isPlainName(std::string_view Text) {
  constexpr std::string_view Separators = ",\"\\";
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), isVisible) &&
         Text.find_first_of(Separators) == std::string_view::npos;
}

bool fitsInLine(std::string_view Value) {
  return std::none_of(Value.begin(), Value.end(), isControl);
}

bool isToken(std::string_view Text) {
  constexpr std::string_view Delimiters = "\"(),/:;<=>?@[\\]{}";
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isVisible) &&
         Text.find_first_of(Delimiters) == std::string_view::npos;
}

bool isRequestTarget(std::string_view Text) {
  return !Text.empty() && std::none_of(Text.begin(), Text.end(), [](char Next) {
    return isControl(Next) || isBlank(Next);
  });
}

} // namespace jasminecroft
