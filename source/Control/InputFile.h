/// \file
/// Reading and writing of files named on the command line.
#ifndef AMARANTH_CONTROL_INPUTFILE_H
#define AMARANTH_CONTROL_INPUTFILE_H

#include "State/ServiceDocument.h"
#include "Support/Error.h"

#include <string>
#include <vector>

namespace amaranth::control {

/// Reads the file at \p Path; NotFound if it cannot be read.
Result<std::string> readInputFile(const std::string &Path);

/// Replaces the content of the file at \p Path; Unavailable if it cannot be
/// written.
Result<void> writeOutputFile(const std::string &Path, const std::string &Text);

/// A document file with the result of its checks.
struct DocumentFile {
  std::string Path_;
  std::string Text_;
  state::DocumentReadResult Reading_;
};

/// Reads and checks the file at \p Path or, if it is a directory, its .toml
/// files in the order of their names. If two files define the same service, the
/// second gets a fault. NotFound if nothing can be read.
Result<std::vector<DocumentFile>> readDocuments(const std::string &Path);

/// The faults of \p Files, one per line; empty if all are valid.
std::string describeFaults(const std::vector<DocumentFile> &Files);

} // namespace amaranth::control

#endif
