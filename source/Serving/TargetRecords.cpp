#include "Serving/TargetRecords.h"

#include "Support/Log.h"

#include <utility>

namespace amaranth::serving {

using protocol::StoreItem;

void TargetRecords::apply(const StoreItem &Item) {
  Deferred_.erase(Item.Key_);
  coordination::TargetChange Change;
  Change.Id_ = Item.Key_.substr(Codec_.targetPrefix().size());
  Change.Revision_ = Item.Revision_;
  Change.Era_ = Item.Era_;
  if (!Item.Removed_) {
    auto Decoded =
        capture([&] { return Codec_.readTarget(Item.Key_, Item.Value_); });
    if (!Decoded) {
      // Written by another writer: the target's own record holds until it is
      // replaced by a readable one or removed.
      if (Context_.Notices_.noteIrregular("record " + Item.Key_))
        LogEvent(LogLevel::Warn, "target_record_unreadable")
            .field("key", Item.Key_)
            .field("error", Decoded.error().Message_)
            .field("irregular", Context_.Notices_.irregularCount());
      return;
    }
    if (namesUnknownService(*Decoded)) {
      if (Context_.Notices_.noteIrregular("service of " + Item.Key_))
        LogEvent(LogLevel::Warn, "target_service_unknown")
            .field("key", Item.Key_)
            .field("service", Decoded->Service_)
            .field("irregular", Context_.Notices_.irregularCount());
      Deferred_[Item.Key_] = Item;
      return;
    }
    Change.Record_ = *Decoded;
  }
  applyChange(Change);
}

bool TargetRecords::namesUnknownService(
    const state::TargetRecord &Record) const {
  const state::TargetRecord *Known = Context_.Targets_.findRecord(Record.Id_);
  const state::RoutingTablePtr &Table = Operators_.latestTable();
  return Known && Table && Table->findService(Known->Service_) &&
         !Table->findService(Record.Service_);
}

void TargetRecords::applyDeferred() {
  for (const auto &[Key, Item] : std::exchange(Deferred_, {}))
    apply(Item);
}

void TargetRecords::applyChange(const coordination::TargetChange &Change) {
  SteadyTime Now = SteadyClock::now();
  if (!Context_.Targets_.apply(Change, Now))
    return;
  if (const state::TargetRecord *Record =
          Context_.Targets_.findRecord(Change.Id_))
    Origins_.onTarget(*Record, Now);
  else
    Origins_.onTargetRemoved(Change.Id_, Now);
  coordination::TargetNotices &Notices = Context_.Notices_;
  if (Change.Record_)
    Notices.onRecord(*Change.Record_, Now);
  else if (Context_.Targets_.findRecord(Change.Id_))
    Notices.onMissing(Change.Id_);
  else
    Notices.onRemoved(Change.Id_);
  if (Change.Record_ && !Change.Record_->InvalidField_.empty() &&
      Notices.noteIrregular(Codec_.targetPrefix() + Change.Id_))
    LogEvent(LogLevel::Warn, "target_field_ignored")
        .field("target", Change.Id_)
        .field("field", Change.Record_->InvalidField_)
        .field("irregular", Notices.irregularCount());
  if (Change.Record_)
    Permits_.pace().targets().onRecord(*Change.Record_, Now);
  else
    Permits_.pace().targets().onRemoved(Change.Id_, Now);
  Permits_.updateColdness(Change.Id_);
  if (!Context_.Targets_.find(Change.Id_)) {
    Context_.Connections_.closeIdle(Change.Id_);
    LogEvent(LogLevel::Info, "target_leaving").field("target", Change.Id_);
  }
}

void TargetRecords::expire(SteadyTime Now) {
  for (const std::string &Id : Context_.Targets_.expire(Now)) {
    Context_.Notices_.onRemoved(Id);
    Origins_.onTargetRemoved(Id, Now);
  }
  for (const coordination::TargetChange &Change :
       Context_.Targets_.takeReappeared(Now))
    applyChange(Change);
}

} // namespace amaranth::serving
