/// \file
/// Log and settings files that are kept when a test fails.
#ifndef AMARANTH_TESTS_INTEGRATION_FAILUREARTIFACTS_H
#define AMARANTH_TESTS_INTEGRATION_FAILUREARTIFACTS_H

#include <string>

namespace amaranth::integration {

/// Registers the file \p Path for the running test case. If the test case
/// fails, the file is kept and its path printed; otherwise it is removed.
void addFailureArtifact(const std::string &Path);

} // namespace amaranth::integration

#endif
