// The fuzz of the serving path with servers that start again under their ids.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fuzz-cases.h"

using namespace jasminecroft::testing;

TEST_CASE("servers that start again under their ids are followed") {
  playCases({draft_shape::Chain, true});
}
