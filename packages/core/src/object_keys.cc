// Builds the keys of stored objects.
#include "jasminecroft/core/stored_objects.h"

#include <cctype>
#include <cstdio>

namespace jasminecroft {

namespace {

// Keeps letters, digits, '-', '_' and '.' and percent-encodes every other byte,
// so that two different names never share a key.
std::string escape(const std::string &Name) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Out;
  for (char C : Name) {
    unsigned char Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) || C == '-' || C == '_' || C == '.') {
      Out += C;
      continue;
    }
    Out += '%';
    Out += Digits[Byte >> 4];
    Out += Digits[Byte & 15];
  }
  return Out;
}

} // namespace

object_key configKey() { return object_key("config/fleet"); }

object_key hostListKey() { return object_key("hosts"); }

object_key probeKey() { return object_key("probe"); }

object_key claimKey(const workspace_id &Workspace, const idempotency_key &Key,
                    const stage_id &Stage) {
  return object_key(std::string(ClaimKeyPrefix) + escape(Workspace.Value) +
                    "/" + escape(Key.Value) + "/" + escape(Stage.Value));
}

object_key auditKey(config_version Version) {
  // Fixed width, so that the order of keys is the order of versions.
  char Text[32];
  std::snprintf(Text, sizeof Text, "audit/%020llu",
                static_cast<unsigned long long>(Version.Value));
  return object_key(Text);
}

} // namespace jasminecroft
