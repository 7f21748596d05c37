/// \file
/// Counts something for as long as it exists.
#ifndef AMARANTH_SUPPORT_SCOPEDCOUNT_H
#define AMARANTH_SUPPORT_SCOPEDCOUNT_H

#include <cstddef>

namespace amaranth {

/// Adds one to a counter until it goes out of scope, also by an exception.
class ScopedCount final {
public:
  explicit ScopedCount(std::size_t &Counter) : Counter_(Counter) { ++Counter_; }
  ~ScopedCount() { --Counter_; }
  ScopedCount(const ScopedCount &) = delete;
  ScopedCount &operator=(const ScopedCount &) = delete;

private:
  std::size_t &Counter_;
};

} // namespace amaranth

#endif
