/// \file
/// Files named on the command line.
#ifndef AMARANTH_CONTROL_INPUTFILE_H
#define AMARANTH_CONTROL_INPUTFILE_H

#include "State/ServiceDocument.h"
#include "Support/Error.h"

#include <string>
#include <vector>

namespace amaranth::control {

/// The content of the file at \p Path; NotFound if it cannot be read.
Result<std::string> readInputFile(const std::string &Path);

/// Replaces the file at \p Path; Unavailable if it cannot be written.
Result<void> writeOutputFile(const std::string &Path, const std::string &Text);

/// A document file and what its checks found.
struct DocumentFile {
  std::string Path_;
  std::string Text_;
  state::DocumentReading Reading_;
};

/// Reads and checks the file at \p Path, or every .toml file of the directory,
/// by name. Two files that name the same service are a fault of the second.
/// NotFound if nothing can be read.
Result<std::vector<DocumentFile>> readDocuments(const std::string &Path);

/// Every fault of \p Files, one a line; empty if all are valid.
std::string describeFaults(const std::vector<DocumentFile> &Files);

} // namespace amaranth::control

#endif
