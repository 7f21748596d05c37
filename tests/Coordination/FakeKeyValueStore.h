/// \file
/// In-memory key-value service with injected outages and lost replies.
#ifndef AMARANTH_TESTS_COORDINATION_FAKEKEYVALUESTORE_H
#define AMARANTH_TESTS_COORDINATION_FAKEKEYVALUESTORE_H

#include "Protocol/KeyValueStore.h"

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>

namespace amaranth::coordination {

/// The writing thread delivers watch events. Leases expire by the clock passed
/// to the constructor. Tests set the public members to inject faults.
class FakeKeyValueStore final : public protocol::KeyValueStore {
public:
  explicit FakeKeyValueStore(std::function<SteadyTime()> Now = SteadyClock::now)
      : Now_(std::move(Now)) {}

  Result<protocol::RangeResult> range(const std::string &Key, bool Prefix,
                                      Milliseconds) override {
    std::lock_guard Lock(Mutex_);
    BOOST_LEAF_CHECK(begin());
    protocol::RangeResult Found{{}, Revision_};
    for (const auto &[Name, Pair] : Pairs_)
      if (Name == Key || (Prefix && Name.starts_with(Key)))
        Found.Pairs_.push_back(Pair);
    return Found;
  }

  Result<protocol::TransactionResult>
  commit(const protocol::Transaction &Request, Milliseconds) override {
    std::vector<protocol::WatchEvent> Events;
    protocol::TransactionResult Outcome;
    bool ReplyLost = false;
    {
      std::lock_guard Lock(Mutex_);
      BOOST_LEAF_CHECK(begin());
      if (LoseRequest_) {
        LoseRequest_ = false;
        return fail(ErrorCode::Ambiguous, "request lost");
      }
      Outcome = apply(Request, Events);
      ReplyLost = std::exchange(LoseReply_, false);
    }
    if (!Events.empty())
      publish(Events);
    if (ReplyLost)
      return fail(ErrorCode::Ambiguous, "reply lost");
    return Outcome;
  }

  Result<protocol::LeaseGrant> grantLease(Seconds TimeToLive,
                                          Milliseconds) override {
    std::lock_guard Lock(Mutex_);
    BOOST_LEAF_CHECK(begin());
    Leases_[++LastLeaseId_] = Now_() + TimeToLive;
    return protocol::LeaseGrant{LastLeaseId_, TimeToLive};
  }

  Result<protocol::LeaseGrant> keepAlive(std::int64_t LeaseId,
                                         Milliseconds) override {
    std::lock_guard Lock(Mutex_);
    BOOST_LEAF_CHECK(begin());
    if (!Leases_.count(LeaseId))
      return fail(ErrorCode::NotFound, "expired");
    Leases_[LeaseId] = Now_() + LeaseTime_;
    if (std::exchange(LoseReply_, false))
      return fail(ErrorCode::Ambiguous, "reply lost");
    return protocol::LeaseGrant{LeaseId, LeaseTime_};
  }

  Result<void> revokeLease(std::int64_t LeaseId, Milliseconds) override {
    std::lock_guard Lock(Mutex_);
    BOOST_LEAF_CHECK(begin());
    Leases_[LeaseId] = Now_();
    expire();
    return {};
  }

  Result<std::unique_ptr<protocol::Watch>>
  watch(const std::string &Prefix, std::uint64_t FromRevision,
        protocol::WatchListener &Listener) override {
    std::lock_guard Lock(Mutex_);
    BOOST_LEAF_CHECK(begin());
    const int Id = ++LastWatchId_;
    Watches_[Id] = {Prefix, &Listener, false};
    (void)FromRevision;
    return std::make_unique<FakeWatch>(*this, Id);
  }

  /// Stops delivery to all open watches without ending them, like connections
  /// that were cut without a notice.
  void silenceWatches() {
    std::lock_guard Lock(Mutex_);
    for (auto &[Id, Subscriber] : Watches_)
      Subscriber.Silenced_ = true;
  }

  /// Ends all open watches and notifies their listeners.
  void endWatches() {
    std::map<int, Subscription> EndedWatches;
    {
      std::lock_guard Lock(Mutex_);
      EndedWatches.swap(Watches_);
    }
    for (auto &[Id, Subscriber] : EndedWatches)
      Subscriber.Listener_->onWatchEnd();
  }

  std::size_t watchCount() {
    std::lock_guard Lock(Mutex_);
    return Watches_.size();
  }

  bool Outage_ = false; ///< Every call fails with Unavailable.
  bool LoseReply_ =
      false; ///< The next write takes effect but fails with Ambiguous.
  bool LoseRequest_ =
      false; ///< The next commit fails with Ambiguous, without effect.
  Seconds LeaseTime_{15};
  int Calls_ = 0;

private:
  struct Subscription {
    std::string Prefix_;
    protocol::WatchListener *Listener_;
    bool Silenced_ = false;
  };

  class FakeWatch final : public protocol::Watch {
  public:
    FakeWatch(FakeKeyValueStore &Store, int Id) : Store_(Store), Id_(Id) {}
    ~FakeWatch() override {
      std::lock_guard Lock(Store_.Mutex_);
      Store_.Watches_.erase(Id_);
    }

  private:
    FakeKeyValueStore &Store_;
    int Id_;
  };

  Result<void> begin() {
    ++Calls_;
    expire();
    if (Outage_)
      return fail(ErrorCode::Unavailable, "outage");
    return {};
  }

  void expire() {
    std::erase_if(Leases_, [&](const auto &Item) {
      if (Item.second > Now_())
        return false;
      std::erase_if(Pairs_, [&](const auto &Pair) {
        return Pair.second.LeaseId_ == Item.first;
      });
      return true;
    });
  }

  bool isSatisfied(const protocol::Compare &Condition) const {
    auto Found = Pairs_.find(Condition.Key_);
    std::uint64_t Actual = 0;
    if (Found != Pairs_.end())
      Actual = Condition.Field_ == protocol::Compare::Field::CreateRevision
                   ? Found->second.CreateRevision_
                   : Found->second.ModRevision_;
    return Condition.Relation_ == protocol::Compare::Relation::Equal
               ? Actual == Condition.Revision_
               : Actual > Condition.Revision_;
  }

  protocol::TransactionResult apply(const protocol::Transaction &Request,
                                    std::vector<protocol::WatchEvent> &Events) {
    protocol::TransactionResult Outcome;
    Outcome.Succeeded_ = std::all_of(
        Request.Conditions_.begin(), Request.Conditions_.end(),
        [this](const auto &Condition) { return isSatisfied(Condition); });
    if (Outcome.Succeeded_) {
      ++Revision_;
      for (const protocol::Mutation &Write : Request.Writes_)
        Events.push_back({false, put(Write)});
    } else {
      for (const std::string &Key : Request.ReadOnFailure_)
        if (Pairs_.count(Key))
          Outcome.Found_.push_back(Pairs_[Key]);
    }
    Outcome.StoreRevision_ = Revision_;
    return Outcome;
  }

  protocol::KeyValue put(const protocol::Mutation &Write) {
    protocol::KeyValue &Pair = Pairs_[Write.Key_];
    Pair.Key_ = Write.Key_;
    Pair.Value_ = Write.Value_;
    Pair.LeaseId_ = Write.LeaseId_;
    Pair.ModRevision_ = Revision_;
    if (Pair.CreateRevision_ == 0)
      Pair.CreateRevision_ = Revision_;
    return Pair;
  }

  void publish(const std::vector<protocol::WatchEvent> &Events) {
    std::vector<Subscription> Recipients;
    {
      std::lock_guard Lock(Mutex_);
      for (auto &[Id, Subscriber] : Watches_)
        if (!Subscriber.Silenced_ &&
            Events.front().Pair_.Key_.starts_with(Subscriber.Prefix_))
          Recipients.push_back(Subscriber);
    }
    for (Subscription &Recipient : Recipients)
      Recipient.Listener_->onEvents(Events);
  }

  std::function<SteadyTime()> Now_;
  std::mutex Mutex_;
  std::map<std::string, protocol::KeyValue> Pairs_;
  std::map<std::int64_t, SteadyTime> Leases_;
  std::map<int, Subscription> Watches_;
  std::uint64_t Revision_ = 1;
  std::int64_t LastLeaseId_ = 0;
  int LastWatchId_ = 0;
};

} // namespace amaranth::coordination

#endif
