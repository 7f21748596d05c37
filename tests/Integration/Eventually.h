/// \file
/// Polls for a condition in tests.
#ifndef AMARANTH_TESTS_INTEGRATION_EVENTUALLY_H
#define AMARANTH_TESTS_INTEGRATION_EVENTUALLY_H

#include "Support/Time.h"

#include <functional>

namespace amaranth::integration {

/// Evaluates \p Condition every few milliseconds until it is true; returns
/// false if it is still false after \p Limit.
bool eventually(const std::function<bool()> &Condition,
                Milliseconds Limit = Seconds{30});

} // namespace amaranth::integration

#endif
