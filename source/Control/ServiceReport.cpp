#include "Control/ServiceReport.h"

#include "Control/LineDiff.h"

#include <nlohmann/json.hpp>

namespace amaranth::control {

ServiceReport::ServiceReport(const CommandContext &Context)
    : Output_(Context.Output_), Json_(Context.Options_.has("json")) {}

void ServiceReport::add(const std::string &Name, std::uint64_t Revision,
                        const std::string &Outcome,
                        const std::string &Difference) {
  Entries_.push_back({Name, Revision, Outcome, Difference});
  if (Json_)
    return;
  Output_ << Name << ": " << Outcome;
  if (Revision > 0)
    Output_ << " (revision " << Revision << ")";
  Output_ << "\n" << Difference << std::flush;
}

void ServiceReport::finish() {
  if (!Json_)
    return;
  using nlohmann::json;
  json Services = json::array();
  for (const Entry &Item : Entries_)
    Services.push_back({{"name", Item.Name_},
                        {"revision", Item.Revision_},
                        {"outcome", Item.Outcome_},
                        {"diff", Item.Difference_}});
  json Report = {{"services", Services}};
  Output_ << Report.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
}

std::string describeDifference(const state::StoredDocument &Current,
                               std::string_view Text) {
  std::string_view Old;
  if (!Current.Deleted_)
    Old = Current.Text_;
  if (Old == Text)
    return "";
  std::string Difference = lineDiff(Old, Text);
  return Difference.empty() ? "(only the end of the last line differs)\n"
                            : Difference;
}

} // namespace amaranth::control
