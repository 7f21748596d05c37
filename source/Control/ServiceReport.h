/// \file
/// What diff, apply and delete report about each service.
#ifndef AMARANTH_CONTROL_SERVICEREPORT_H
#define AMARANTH_CONTROL_SERVICEREPORT_H

#include "Control/Command.h"
#include "State/ServiceDocument.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::control {

/// Collects one entry for each service: written as text at once, or as one
/// JSON object at the end.
class ServiceReport final {
public:
  explicit ServiceReport(const CommandContext &Context);

  /// Adds the \p Outcome of a service at \p Revision with the difference that
  /// belongs to it, or an empty one.
  void add(const std::string &Name, std::uint64_t Revision,
           const std::string &Outcome, const std::string &Difference);

  /// Writes the JSON object, if JSON was asked for.
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

/// The difference that \p Text makes to \p Current; empty if they are equal.
std::string describeDifference(const state::StoredDocument &Current,
                               std::string_view Text);

} // namespace amaranth::control

#endif
