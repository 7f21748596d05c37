#include "Serving/OperatorRecords.h"

#include "Support/Log.h"

namespace amaranth::serving {

using protocol::StoreItem;

void OperatorRecords::apply(const StoreItem &Item) {
  if (Item.Key_ == Codec_.configurationKey())
    applyConfiguration(Item);
  else if (std::optional<std::string> DataCentre =
               Codec_.evacuatedDataCentre(Item.Key_))
    applyEvacuation(*DataCentre, Item);
}

void OperatorRecords::onComplete() {
  IsComplete_ = true;
  IsRestoring_ = false;
  if (!MergesUntil_)
    MergesUntil_ = SteadyClock::now() + RewriteTime;
  Context_.Table_ = LatestTable_;
}

void OperatorRecords::onTargetsLoaded() {
  TargetsLoaded_ = true;
  for (const std::string &DataCentre : Context_.Notices_.evacuated())
    reportUnknownDataCentre(DataCentre);
}

void OperatorRecords::applyConfiguration(const StoreItem &Item) {
  if (Item.Removed_)
    return;
  auto Decoded = capture([&] { return Codec_.readConfiguration(Item.Value_); });
  if (!Decoded) {
    LogEvent(LogLevel::Error, "configuration_rejected")
        .field("revision", Item.Revision_)
        .field("error", Decoded.error().Message_);
    return;
  }
  state::RoutingTable Table = std::move(*Decoded);
  if (LatestTable_ && Table.Version_ < LatestTable_->Version_) {
    LogEvent(LogLevel::Warn, "configuration_outdated")
        .field("version", Table.Version_)
        .field("revision", Item.Revision_)
        .field("version_in_force", LatestTable_->Version_);
    return;
  }
  Table.Revision_ = Item.Revision_;
  LogEvent(LogLevel::Info, "configuration_taken")
      .field("version", Table.Version_)
      .field("revision", Table.Revision_)
      .field("routes", Table.Routes_.size());
  LatestTable_ = std::make_shared<const state::RoutingTable>(std::move(Table));
  LatestConfiguration_ = Item;
  Permits_.pace().targets().onConfiguration(LatestTable_);
  if (IsComplete_)
    Context_.Table_ = LatestTable_;
}

void OperatorRecords::applyEvacuation(const std::string &DataCentre,
                                      const StoreItem &Item) {
  coordination::TargetNotices &Notices = Context_.Notices_;
  if (DataCentre.empty()) {
    if (!Item.Removed_ && Notices.noteIrregular(Item.Key_))
      LogEvent(LogLevel::Warn, "evacuation_without_data_centre")
          .field("key", Item.Key_)
          .field("irregular", Notices.irregularCount());
    return;
  }
  if (Item.Removed_) {
    if (IsRestoring_)
      MissingEvacuations_.insert(DataCentre);
    else
      endEvacuation(DataCentre, Item.Revision_);
    return;
  }
  MissingEvacuations_.erase(DataCentre);
  Evacuations_[DataCentre] = Item;
  if (!Notices.setEvacuated(DataCentre, true))
    return;
  LogEvent(LogLevel::Info, "evacuated")
      .field("data_centre", DataCentre)
      .field("revision", Item.Revision_);
  if (TargetsLoaded_)
    reportUnknownDataCentre(DataCentre);
}

void OperatorRecords::endEvacuation(const std::string &DataCentre,
                                    std::uint64_t Revision) {
  MissingEvacuations_.erase(DataCentre);
  Evacuations_.erase(DataCentre);
  if (!Context_.Notices_.setEvacuated(DataCentre, false))
    return;
  LogEvent(LogLevel::Info, "evacuation_ended")
      .field("data_centre", DataCentre)
      .field("revision", Revision);
  Permits_.pace().targets().onDataCentreReturned(DataCentre,
                                                 SteadyClock::now());
}

void OperatorRecords::onStoreRestored(SteadyTime Now) {
  IsRestoring_ = true;
  RewrittenBy_ = Now + RewriteTime;
  MergesUntil_ = Now;
}

std::vector<StoreItem> OperatorRecords::inForce() const {
  std::vector<StoreItem> Items;
  if (LatestTable_)
    Items.push_back(LatestConfiguration_);
  for (const auto &[DataCentre, Item] : Evacuations_)
    Items.push_back(Item);
  return Items;
}

void OperatorRecords::mergeInForce(const std::vector<StoreItem> &Items,
                                   SteadyTime Now) {
  for (const StoreItem &Item : Items) {
    std::optional<std::string> DataCentre =
        Codec_.evacuatedDataCentre(Item.Key_);
    bool Merges = !MergesUntil_ || Now < *MergesUntil_;
    if (DataCentre && Merges && !Evacuations_.contains(*DataCentre)) {
      apply(Item);
      MissingEvacuations_.insert(*DataCentre);
      RewrittenBy_ = Now + RewriteTime;
    }
    bool IsConfiguration = Item.Key_ == Codec_.configurationKey();
    if (IsConfiguration && Item.Value_ != LatestConfiguration_.Value_)
      applyConfiguration(Item);
  }
}

void OperatorRecords::expire(SteadyTime Now) {
  if (MissingEvacuations_.empty() || Now < RewrittenBy_)
    return;
  for (const std::string &DataCentre : std::set(MissingEvacuations_))
    endEvacuation(DataCentre, LatestTable_ ? LatestTable_->Revision_ : 0);
}

void OperatorRecords::reportUnknownDataCentre(const std::string &DataCentre) {
  // The evacuation stays in force for targets that register there later.
  coordination::TargetNotices &Notices = Context_.Notices_;
  if (!Context_.Targets_.hasTargetIn(DataCentre) &&
      Notices.noteIrregular("evacuation of " + DataCentre))
    LogEvent(LogLevel::Warn, "evacuation_of_unknown_data_centre")
        .field("data_centre", DataCentre)
        .field("irregular", Notices.irregularCount());
}

} // namespace amaranth::serving
