// Query strings of the stand-ins' small protocols.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminecroft::standins::detail {

struct split_target {
  std::string Path;
  std::string Query;
};

inline split_target splitTarget(std::string_view Target) {
  std::size_t Mark = Target.find('?');
  if (Mark == std::string_view::npos)
    return {std::string(Target), {}};
  return {std::string(Target.substr(0, Mark)),
          std::string(Target.substr(Mark + 1))};
}

/// Value of "Name=..." in a query; absent if there is none.
inline std::optional<std::string> queryValue(std::string_view Query,
                                             std::string_view Name) {
  while (!Query.empty()) {
    std::size_t End = Query.find('&');
    std::string_view Part = Query.substr(0, End);
    std::size_t Equals = Part.find('=');
    if (Equals != std::string_view::npos && Part.substr(0, Equals) == Name)
      return std::string(Part.substr(Equals + 1));
    Query = End == std::string_view::npos ? "" : Query.substr(End + 1);
  }
  return std::nullopt;
}

inline std::uint64_t numberOr(const std::optional<std::string> &Text,
                              std::uint64_t Default) {
  if (!Text || Text->empty() ||
      Text->find_first_not_of("0123456789") != std::string::npos)
    return Default;
  return std::stoull(*Text);
}

} // namespace jasminecroft::standins::detail
