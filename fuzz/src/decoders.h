#ifndef GOOSEBERRY_DECODERS_H
#define GOOSEBERRY_DECODERS_H

// All decoders of what comes from outside the process: messages, stored rows,
// settings and documents. Each takes bytes that may mean anything, and works
// with what it reads from them as the process would. For fuzzing and for tests.

#include <string>
#include <vector>

namespace gooseberry::fuzz {

struct Decoder
{
  const char* name;
  void (*decode)(const std::string&);
  // Processor time of an input, as a multiple of what most decoders take.
  int cost = 1;
};

auto
Decoders() -> const std::vector<Decoder>&;

// Null if there is none of this name.
auto
FindDecoder(const std::string& aName) -> const Decoder*;

} // namespace gooseberry::fuzz

#endif
