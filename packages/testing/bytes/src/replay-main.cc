// Runs one target on the files of a folder and on seeded changes of them.
#include "byte_target.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

using jasminecroft::bytes::readBytes;

namespace {

constexpr std::size_t ChangesPerFile = 2'000;
constexpr int UsageError = 2;

std::string changed(std::string Text, std::mt19937_64 &Random) {
  constexpr std::uint64_t Kinds = 4;
  for (std::uint64_t Edits = 1 + Random() % 3; Edits > 0; --Edits) {
    std::size_t At = Random() % (Text.size() + 1);
    std::size_t Length = std::min<std::size_t>(Random() % 16, Text.size() - At);
    switch (Random() % Kinds) {
    case 0:
      Text.erase(At, Length);
      break;
    case 1:
      Text.insert(At, Text.substr(At, Length));
      break;
    case 2:
      Text.insert(At, 1, static_cast<char>(Random()));
      break;
    default:
      if (At < Text.size())
        Text[At] = static_cast<char>(Random());
      break;
    }
  }
  return Text;
}

} // namespace

int main(int Count, char **Values) {
  if (Count != 2) {
    std::cerr << "usage: NAME-replay FOLDER\n";
    return UsageError;
  }
  std::vector<std::filesystem::path> Files;
  for (const std::filesystem::directory_entry &Entry :
       std::filesystem::directory_iterator(Values[1]))
    Files.push_back(Entry.path());
  std::sort(Files.begin(), Files.end());
  std::mt19937_64 Random(1);
  readBytes("");
  for (const std::filesystem::path &File : Files) {
    std::ifstream Stream(File, std::ios::binary);
    std::string Text{std::istreambuf_iterator<char>(Stream), {}};
    readBytes(Text);
    for (std::size_t I = 0; I < ChangesPerFile; ++I)
      readBytes(changed(Text, Random));
  }
  std::cout << Files.size() << " inputs, " << ChangesPerFile
            << " changes of each\n";
  return Files.empty() ? UsageError : 0;
}
