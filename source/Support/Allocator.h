/// \file
/// Settings of the C library's allocator.
#ifndef AMARANTH_SUPPORT_ALLOCATOR_H
#define AMARANTH_SUPPORT_ALLOCATOR_H

namespace amaranth {

/// Makes the memory of large blocks return to the system as soon as they are
/// freed. By default the allocator keeps blocks of up to 32 MB once one of that
/// size has been freed, and message buffers that grow side by side then leave
/// holes between them. Call once, before other threads start.
void releaseFreedBlocks();

} // namespace amaranth

#endif
