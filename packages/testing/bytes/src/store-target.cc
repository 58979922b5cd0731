// Lists, changes and objects of the platform's store.
#include "byte_target.h"

#include "platform/store/store_objects.h"

#include <algorithm>

namespace jasminecroft::bytes {

namespace {

void readObject(const platform::store_object &Object) {
  platform::decodeBackend(Object);
  std::variant<batching_host, platform::object_error> Host =
      platform::decodeEntryHost(Object);
  const batching_host *Read = std::get_if<batching_host>(&Host);
  if (!Read)
    return;
  platform::store_object Written = Object;
  Written.Spec = platform::encodeEntryHost(*Read, incarnation(1));
  std::variant<batching_host, platform::object_error> Again =
      platform::decodeEntryHost(Written);
  const batching_host *Same = std::get_if<batching_host>(&Again);
  require(Same && Same->Zone == Read->Zone && Same->Address == Read->Address &&
              Same->Capacity == Read->Capacity,
          "a host's entry is the same when it is written and read again");
}

} // namespace

void readBytes(std::string_view Bytes) {
  std::variant<platform::object_list, platform::object_error> List =
      platform::decodeList(Bytes);
  if (const platform::object_list *Read =
          std::get_if<platform::object_list>(&List))
    std::for_each(Read->Objects.begin(), Read->Objects.end(), readObject);
  std::variant<platform::object_events, platform::object_error> Events =
      platform::decodeEvents(Bytes);
  if (const platform::object_events *Read =
          std::get_if<platform::object_events>(&Events))
    std::for_each(Read->Changes.begin(), Read->Changes.end(), readObject);
  std::variant<platform::store_object, platform::object_error> Object =
      platform::decodeObject(Bytes);
  if (const platform::store_object *Read =
          std::get_if<platform::store_object>(&Object))
    readObject(*Read);
}

} // namespace jasminecroft::bytes
