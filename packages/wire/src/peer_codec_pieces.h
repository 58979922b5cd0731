// CBOR form of the messages by which hosts batch stage work together.
#pragma once

#include "cbor_fields.h"
#include "jasminecroft/core/peer_messages.h"

namespace jasminecroft::detail {

cbor_value writeBody(const host_greeting &Body);
cbor_value writeBody(const operator_config_pull &Body);
cbor_value writeBody(const operator_config_push &Body);
cbor_value writeBody(const pieces_wanted &Body);
cbor_value writeBody(const pieces_accepted &Body);
cbor_value writeBody(const pieces_made &Body);
cbor_value writeBody(const pieces_failed &Body);
cbor_value writeBody(const pieces_cancelled &Body);
cbor_value writeBody(const results_released &Body);
cbor_value writeBody(const inputs_fetched &Body);
cbor_value writeBody(const work_planned &Body);

void readBody(field_reader &Reader, host_greeting &Body);
void readBody(field_reader &Reader, operator_config_pull &Body);
void readBody(field_reader &Reader, operator_config_push &Body);
void readBody(field_reader &Reader, pieces_wanted &Body);
void readBody(field_reader &Reader, pieces_accepted &Body);
void readBody(field_reader &Reader, pieces_made &Body);
void readBody(field_reader &Reader, pieces_failed &Body);
void readBody(field_reader &Reader, pieces_cancelled &Body);
void readBody(field_reader &Reader, results_released &Body);
void readBody(field_reader &Reader, inputs_fetched &Body);
void readBody(field_reader &Reader, work_planned &Body);

} // namespace jasminecroft::detail
