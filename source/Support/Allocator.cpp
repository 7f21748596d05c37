#include "Support/Allocator.h"

#include <cstdlib>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace amaranth {

void releaseFreedBlocks() {
#ifdef __GLIBC__
  constexpr int LargeBlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
#endif
}

} // namespace amaranth
