// The operator's configuration.
#include "byte_target.h"

#include "platform/store/store_objects.h"

namespace jasminecroft::bytes {

void readBytes(std::string_view Bytes) {
  std::variant<std::shared_ptr<const route_config>, platform::object_error>
      Config = platform::decodeConfig(Bytes);
  if (const std::shared_ptr<const route_config> *Read =
          std::get_if<std::shared_ptr<const route_config>>(&Config))
    require(*Read != nullptr, "a configuration that was read is there");
}

} // namespace jasminecroft::bytes
