#include "Control/InputFile.h"

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <system_error>

namespace amaranth::control {

namespace {

namespace filesystem = std::filesystem;

std::string lastSystemError() { return std::strerror(errno); }

Result<std::vector<std::string>> listDocuments(const std::string &Path) {
  std::error_code Failure;
  if (!filesystem::is_directory(Path, Failure))
    return std::vector<std::string>{Path};
  std::vector<std::string> Paths;
  filesystem::directory_iterator Entry(Path, Failure);
  while (!Failure && Entry != filesystem::directory_iterator()) {
    if (Entry->path().extension() == ".toml")
      Paths.push_back(Entry->path().string());
    Entry.increment(Failure);
  }
  if (Failure)
    return fail(ErrorCode::NotFound, Path + ": " + Failure.message());
  if (Paths.empty())
    return fail(ErrorCode::NotFound,
                Path + ": the directory has no .toml file");
  std::sort(Paths.begin(), Paths.end());
  return Paths;
}

void checkNameIsUnique(DocumentFile &File,
                       std::map<std::string, std::string> &PathByName) {
  if (!File.Reading_.Document_)
    return;
  const std::string &Name = File.Reading_.Document_->Name_;
  auto [FirstUse, Added] = PathByName.emplace(Name, File.Path_);
  if (Added)
    return;
  File.Reading_.Faults_.push_back(
      {1, "name", "\"" + Name + "\"",
       "a name other than that in " + FirstUse->second});
  File.Reading_.Document_.reset();
}

} // namespace

Result<std::string> readInputFile(const std::string &Path) {
  errno = 0;
  std::ifstream Stream(Path, std::ios::binary);
  std::ostringstream Content;
  // An empty file sets failbit on the destination only.
  if (Stream && Stream.peek() != std::ifstream::traits_type::eof())
    Content << Stream.rdbuf();
  if (!Stream.is_open() || Stream.bad())
    return fail(ErrorCode::NotFound, Path + ": " + lastSystemError());
  return Content.str();
}

Result<void> writeOutputFile(const std::string &Path, const std::string &Text) {
  errno = 0;
  std::ofstream Stream(Path, std::ios::binary | std::ios::trunc);
  Stream << Text;
  Stream.close();
  if (!Stream)
    return fail(ErrorCode::Unavailable, Path + ": " + lastSystemError());
  return {};
}

Result<std::vector<DocumentFile>> readDocuments(const std::string &Path) {
  BOOST_LEAF_AUTO(Paths, listDocuments(Path));
  std::vector<DocumentFile> Files;
  std::map<std::string, std::string> PathByName;
  for (const std::string &FilePath : Paths) {
    DocumentFile File;
    File.Path_ = FilePath;
    BOOST_LEAF_ASSIGN(File.Text_, readInputFile(FilePath));
    File.Reading_ = state::readServiceDocument(File.Text_);
    checkNameIsUnique(File, PathByName);
    Files.push_back(std::move(File));
  }
  return Files;
}

std::string describeFaults(const std::vector<DocumentFile> &Files) {
  std::string Text;
  for (const DocumentFile &File : Files)
    for (const state::DocumentFault &Fault : File.Reading_.Faults_)
      Text += toString(File.Path_, Fault) + "\n";
  return Text;
}

} // namespace amaranth::control
