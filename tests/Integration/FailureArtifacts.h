/// \file
/// Files that explain a failed test.
#ifndef AMARANTH_TESTS_INTEGRATION_FAILUREARTIFACTS_H
#define AMARANTH_TESTS_INTEGRATION_FAILUREARTIFACTS_H

#include <string>

namespace amaranth::integration {

/// Registers \p Path for the running test case. The file is kept and its path
/// printed if the test case fails, and removed if it passes.
void addFailureArtifact(const std::string &Path);

} // namespace amaranth::integration

#endif
