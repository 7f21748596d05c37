/// \file
/// Report of diff, apply and delete on each service.
#ifndef AMARANTH_CONTROL_SERVICEREPORT_H
#define AMARANTH_CONTROL_SERVICEREPORT_H

#include "Control/Command.h"
#include "State/ServiceDocument.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::control {

/// Reports one entry for each service: as text at once or, with --json, as one
/// object at the end.
class ServiceReport final {
public:
  explicit ServiceReport(const CommandContext &Context);

  /// Adds the \p Outcome of a service at \p Revision (0 if it has none) with
  /// the line diff of its document, or an empty one.
  void add(const std::string &Name, std::uint64_t Revision,
           const std::string &Outcome, const std::string &Difference);

  /// Writes the JSON object if --json was given.
  void finish();

private:
  struct Entry {
    std::string Name_;
    std::uint64_t Revision_;
    std::string Outcome_;
    std::string Difference_;
  };

  std::ostream &Output_;
  bool Json_;
  std::vector<Entry> Entries_;
};

/// The line diff from \p Current to \p Text; empty if they are equal.
std::string describeDifference(const state::StoredDocument &Current,
                               std::string_view Text);

} // namespace amaranth::control

#endif
