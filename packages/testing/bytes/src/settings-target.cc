// Settings files of the serving path.
#include "byte_target.h"

#include "jasminecroft/entry/serving_settings.h"

namespace jasminecroft::bytes {

void readBytes(std::string_view Bytes) {
  serving_settings_result First = parseServingSettings(Bytes);
  serving_host_settings *Read = std::get_if<serving_host_settings>(&First);
  if (!Read)
    return;
  require(!Read->Host.empty() && !Read->Store.empty(),
          "settings that were read name the host and its store");
  serving_settings_result Second = parseServingSettings(Bytes);
  settings_changes Changes =
      takeOver(*Read, std::get<serving_host_settings>(Second));
  require(Changes.Applied.empty() && Changes.AtRestart.empty(),
          "the same file changes nothing");
}

} // namespace jasminecroft::bytes
