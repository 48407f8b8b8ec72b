// Entry point for libFuzzer: GOOSEBERRY_DECODER names the decoder.

#include <cstdint>
#include <cstdio>
#include <cstdlib>

#include "decoders.h"

extern "C" auto
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) -> int
{
  static const auto* const decoder = [] {
    const auto* const name = std::getenv("GOOSEBERRY_DECODER");
    const auto* const found =
      name == nullptr ? nullptr : gooseberry::fuzz::FindDecoder(name);
    if (found == nullptr) {
      std::fprintf(stderr,
                   "GOOSEBERRY_DECODER names none of (with their costs):\n");
      for (const auto& known : gooseberry::fuzz::Decoders()) {
        std::fprintf(stderr, "  %s %d\n", known.name, known.cost);
      }
      std::exit(2);
    }
    return found;
  }();
  decoder->decode({ reinterpret_cast<const char*>(aData), aSize });
  return 0;
}
