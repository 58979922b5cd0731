// Names of decoding problems.
#include "jasminecroft/wire/codec_result.h"

namespace jasminecroft {

std::string_view toText(codec_problem Problem) {
  switch (Problem) {
  case codec_problem::Malformed:
    return "is malformed";
  case codec_problem::Missing:
    return "is missing";
  case codec_problem::WrongType:
    return "has the wrong type";
  case codec_problem::OutOfRange:
    return "is out of range";
  case codec_problem::UnknownMember:
    return "is not known";
  case codec_problem::UnknownVersion:
    return "has an unknown version";
  case codec_problem::TooLarge:
    return "is too large";
  }
  return "is malformed";
}

} // namespace jasminecroft
