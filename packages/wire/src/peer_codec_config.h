// CBOR form of configurations, change records and host lists.
#pragma once

#include "cbor_fields.h"
#include "jasminecroft/core/peer_messages.h"

namespace jasminecroft::detail {

cbor_value write(const fleet_config &Config);
cbor_value write(const change_record &Record);
cbor_value write(const host_list &Hosts);

void read(field_reader &Reader, fleet_config &Config);
void read(field_reader &Reader, change_record &Record);
void read(field_reader &Reader, host_list &Hosts);

} // namespace jasminecroft::detail
