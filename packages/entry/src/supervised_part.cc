// Names of the parts and of their failures.
#include "jasminecroft/entry/supervised_part.h"

namespace jasminecroft {

std::string_view toText(part_kind Part) {
  switch (Part) {
  case part_kind::Front:
    return "front";
  case part_kind::Backends:
    return "backends";
  case part_kind::Platform:
    return "platform";
  case part_kind::Peers:
    return "peers";
  }
  return "front";
}

std::string_view toText(part_problem Problem) {
  switch (Problem) {
  case part_problem::AddressInUse:
    return "address_in_use";
  case part_problem::AddressRefused:
    return "address_refused";
  case part_problem::TlsFilesRefused:
    return "tls_files_refused";
  case part_problem::ListenerBroken:
    return "listener_broken";
  case part_problem::OutOfResources:
    return "out_of_resources";
  }
  return "listener_broken";
}

} // namespace jasminecroft
