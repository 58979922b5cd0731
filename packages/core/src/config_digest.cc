// Hash of a whole configuration, by which two hosts compare their copies.
#include "jasminecroft/core/config_edit.h"

#include <xxhash.h>

namespace jasminecroft {

namespace {

/// Serialises values unambiguously and hashes the bytes.
class digest_builder {
public:
  void add(std::uint64_t Number) {
    for (int Shift = 0; Shift < 64; Shift += 8)
      Bytes.push_back(static_cast<char>(Number >> Shift));
  }
  void add(std::int64_t Number) { add(static_cast<std::uint64_t>(Number)); }
  void add(const std::string &Text) {
    add(static_cast<std::uint64_t>(Text.size()));
    Bytes += Text;
  }
  template <typename Tag> void add(const strong_text<Tag> &Id) {
    add(Id.Value);
  }
  template <typename Tag> void add(const strong_number<Tag> &Number) {
    add(Number.Value);
  }
  template <typename Tag> void add(const std::optional<strong_text<Tag>> &Id) {
    add(std::uint64_t{Id.has_value()});
    if (Id)
      add(*Id);
  }
  void add(wall_time Time) {
    add(static_cast<std::int64_t>(Time.time_since_epoch().count()));
  }
  void add(const pool_definition &Pool) {
    add(Pool.Name);
    add(static_cast<std::uint64_t>(Pool.Kind));
    add(std::uint64_t{Pool.SlotsPerBackend});
    add(std::uint64_t{Pool.ChecksFencing});
  }
  void add(const pipeline_definition &Pipeline) {
    add(Pipeline.Name);
    add(static_cast<std::uint64_t>(Pipeline.Stages.size()));
    for (const stage_definition &Stage : Pipeline.Stages) {
      add(Stage.Name);
      add(Stage.Pool);
      add(std::uint64_t{Stage.Repeatable});
    }
  }
  void add(const config_exception &Exception) {
    add(Exception.Id);
    add(Exception.Scope.Workspace);
    add(Exception.Scope.Pipeline);
    add(Exception.Scope.Pool);
    add(Exception.Scope.Zone);
    add(static_cast<std::uint64_t>(Exception.Key));
    add(Exception.Value);
    add(Exception.Reason);
    add(Exception.Author);
    add(Exception.MadeAt);
    add(Exception.ReviewBy);
    add(Exception.Since);
  }
  void add(const change_record &Record) {
    // The effect of the differences is hashed with the configuration itself.
    add(Record.Id);
    add(Record.Author);
    add(Record.Reason);
    add(Record.Base);
    add(Record.Result);
    add(Record.MadeAt);
    add(static_cast<std::uint64_t>(Record.Differences.size()));
  }
  template <typename Value> void addAll(const Value &Values) {
    add(static_cast<std::uint64_t>(Values.size()));
    for (const typename Value::value_type &Element : Values)
      add(Element);
  }
  template <typename Key, typename Value>
  void add(const std::pair<const Key, Value> &Entry) {
    if constexpr (std::is_enum_v<Key>)
      add(static_cast<std::uint64_t>(Entry.first));
    else
      add(Entry.first);
    add(Entry.second);
  }

  std::uint64_t digest() const {
    return XXH3_64bits(Bytes.data(), Bytes.size());
  }

private:
  std::string Bytes;
};

} // namespace

std::uint64_t configDigest(const fleet_config &Config) {
  digest_builder Builder;
  Builder.add(Config.Version);
  Builder.add(Config.Fleet);
  Builder.addAll(Config.Defaults);
  Builder.addAll(Config.DefaultsSince);
  Builder.addAll(Config.Exceptions);
  Builder.addAll(Config.Pipelines);
  Builder.addAll(Config.Pools);
  Builder.addAll(Config.Workspaces);
  Builder.addAll(Config.Changes);
  return Builder.digest();
}

} // namespace jasminecroft
