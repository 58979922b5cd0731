// CBOR form of the messages by which hosts batch stage work together.
#pragma once

#include "cbor_fields.h"
#include "jasminecroft/core/peer_messages.h"

namespace jasminecroft::detail {

cbor_value writeBody(const host_heartbeat &Body);
cbor_value writeBody(const operator_config_pull &Body);
cbor_value writeBody(const operator_config_push &Body);
cbor_value writeBody(const store_poll &Body);
cbor_value writeBody(const store_news &Body);
cbor_value writeBody(const crash_report &Body);
cbor_value writeBody(const part_rulings &Body);
cbor_value writeBody(const server_limit_list &Body);
cbor_value writeBody(const send_permit_request &Body);
cbor_value writeBody(const send_permit_reply &Body);
cbor_value writeBody(const server_leaving &Body);
cbor_value writeBody(const engine_times &Body);
cbor_value writeBody(const cold_server_list &Body);
cbor_value writeBody(const prompt_room_request &Body);
cbor_value writeBody(const prompt_room_reply &Body);
cbor_value writeBody(const prompt_read &Body);
cbor_value writeBody(const piece_request &Body);
cbor_value writeBody(const pieces_accepted &Body);
cbor_value writeBody(const pieces_completed &Body);
cbor_value writeBody(const pieces_failed &Body);
cbor_value writeBody(const pieces_cancelled &Body);
cbor_value writeBody(const results_released &Body);
cbor_value writeBody(const inputs_fetched &Body);
cbor_value writeBody(const demand_forecast &Body);
cbor_value writeBody(const zone_orders &Body);

void readBody(field_reader &Reader, host_heartbeat &Body);
void readBody(field_reader &Reader, operator_config_pull &Body);
void readBody(field_reader &Reader, operator_config_push &Body);
void readBody(field_reader &Reader, store_poll &Body);
void readBody(field_reader &Reader, store_news &Body);
void readBody(field_reader &Reader, crash_report &Body);
void readBody(field_reader &Reader, part_rulings &Body);
void readBody(field_reader &Reader, server_limit_list &Body);
void readBody(field_reader &Reader, send_permit_request &Body);
void readBody(field_reader &Reader, send_permit_reply &Body);
void readBody(field_reader &Reader, server_leaving &Body);
void readBody(field_reader &Reader, engine_times &Body);
void readBody(field_reader &Reader, cold_server_list &Body);
void readBody(field_reader &Reader, prompt_room_request &Body);
void readBody(field_reader &Reader, prompt_room_reply &Body);
void readBody(field_reader &Reader, prompt_read &Body);
void readBody(field_reader &Reader, piece_request &Body);
void readBody(field_reader &Reader, pieces_accepted &Body);
void readBody(field_reader &Reader, pieces_completed &Body);
void readBody(field_reader &Reader, pieces_failed &Body);
void readBody(field_reader &Reader, pieces_cancelled &Body);
void readBody(field_reader &Reader, results_released &Body);
void readBody(field_reader &Reader, inputs_fetched &Body);
void readBody(field_reader &Reader, demand_forecast &Body);
void readBody(field_reader &Reader, zone_orders &Body);

} // namespace jasminecroft::detail
