/// \file
/// Waiting for a condition in tests.
#ifndef AMARANTH_TESTS_INTEGRATION_EVENTUALLY_H
#define AMARANTH_TESTS_INTEGRATION_EVENTUALLY_H

#include "Support/Time.h"

#include <functional>

namespace amaranth::integration {

/// Tests \p Condition every few milliseconds until it holds; false if it has
/// not within \p Limit.
bool eventually(const std::function<bool()> &Condition,
                Milliseconds Limit = Seconds{30});

} // namespace amaranth::integration

#endif
