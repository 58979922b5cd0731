// JSON form of stored objects, statuses and parts of the configuration.
#pragma once

#include "jasminecroft/core/status.h"
#include "jasminecroft/core/stored_objects.h"
#include "jasminecroft/wire/codec_result.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminecroft {

/// Encodes a stored object; the first member names its kind and format.
std::string encodeStored(const stored_object &Object);
codec_result<stored_object> decodeStored(std::string_view Text);

/// Reads the object API's answer to a list.
codec_result<std::vector<listed_object>>
decodeObjectList(std::string_view Text);

/// Decodes a configuration as operators write it, comments allowed. Unknown
/// members are errors.
codec_result<fleet_config> decodeConfig(std::string_view Text);
/// The configuration as operators read and edit it, indented.
std::string encodeConfigForEditing(const fleet_config &Config);

std::string encodeStatus(const status_document &Document);

/// A change record, as JSON for scripts.
std::string encodeChange(const change_record &Change);

/// Reads an RFC 3339 UTC time, or a date, which stands for its beginning.
std::optional<wall_time> parseWallTime(std::string_view Text);
/// Text of a wall time, RFC 3339 UTC with milliseconds.
std::string toText(wall_time Time);

} // namespace jasminecroft
