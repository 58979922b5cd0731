// Plays the sessions named by the arguments and writes their actions anew.
#include "jasminecroft/testing/session.h"

#include <cstdio>
#include <fstream>
#include <sstream>

int main(int ArgumentCount, char **Arguments) {
  for (int I = 1; I < ArgumentCount; ++I) {
    std::ifstream In(Arguments[I]);
    if (!In) {
      std::fprintf(stderr, "cannot read %s\n", Arguments[I]);
      return 1;
    }
    std::stringstream Old;
    Old << In.rdbuf();
    In.close();
    std::string New = jasminecroft::testing::playSession(Old.str());
    if (New == Old.str())
      continue;
    std::ofstream(Arguments[I]) << New;
    std::printf("rewrote %s\n", Arguments[I]);
  }
  return 0;
}
