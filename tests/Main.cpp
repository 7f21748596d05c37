#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "Support/Allocator.h"

// The tests run with the allocator settings of the daemon.
int main(int ArgumentCount, char **Arguments) {
  amaranth::releaseFreedBlocks();
  return Catch::Session().run(ArgumentCount, Arguments);
}
