// JSON form of the configuration's parts, shared by the codec's files.
#pragma once

#include "detail/json_reader.h"
#include "jasminecroft/core/config.h"

#include <boost/json/object.hpp>

namespace jasminecroft::detail {

boost::json::object configToJson(const fleet_config &Config);
fleet_config configFromJson(const json_reader &Reader);
boost::json::object changeToJson(const change_record &Change);
change_record changeFromJson(const json_reader &Reader);

} // namespace jasminecroft::detail
