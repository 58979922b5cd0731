// The fuzz of the serving path with stages that share inputs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fuzz-cases.h"

using namespace jasminecroft::testing;

// 15, 28, 45, 51, 56: a job of one stage was submitted without the inputs that
// another stage had reported lost.
TEST_CASE("pieces get all their inputs where stages share them") {
  playCases({draft_shape::Shared, false});
}
