#include "StageLoadReplay.h"

#include <algorithm>
#include <cmath>

namespace amaranth::testing {

using namespace coordination;
using protocol::QueueState;

namespace {

constexpr Milliseconds CheckPeriod{20};
constexpr Milliseconds StartCheckPeriod{60};
constexpr Milliseconds FirstEventReserve{250};
constexpr Milliseconds GenerationReserve{700};
constexpr Milliseconds InputReadReserve{100};
constexpr int InputReadDivisor = 3;
constexpr double LateWorth = 0.15;
constexpr int DataCentres = 4;
const SteadyTime Start{Seconds{1000}};

std::string dataCentre(std::size_t Index) {
  return "zone-" + std::to_string(Index % DataCentres);
}

Milliseconds callTime(const state::StageCapacity &Capacity, double Pieces) {
  return Capacity.CallOverhead_ +
         std::chrono::ceil<Milliseconds>(Capacity.PieceTime_ * Pieces);
}

} // namespace

struct StageLoadReplay::Impl final : QueueView {
  struct Request {
    std::size_t Class_ = 0;
    std::size_t Host_ = 0;
    std::string Id_;
    std::unique_ptr<StagePlan> Plan_;
    OutstandingRequest Outstanding_;
    SteadyTime Arrival_, UsableUntil_;
    std::string DataCentre_;
    bool Ended_ = false;
    std::map<std::size_t, std::size_t> PeakPieces_; ///< Run, by service.
  };
  struct Target {
    std::string Id_, DataCentre_;
    bool Busy_ = false;
    bool ReportsInputsRead_ = false; ///< As StageDispatcher decides.
    SteadyTime FreeAt_{};
    double Cost_ = 1;
  };
  struct Service {
    StageQueue Queue_;
    ResultLedger Ledger_;
    std::vector<Target> Targets_;
    CallStatistics Statistics_;
    bool StartPosted_ = false;
  };
  struct Result {
    std::size_t Service_, Target_;
    SteadyTime ExpiresAt_;
  };
  struct Host {
    OutstandingWork Work_;
    std::vector<QueueState> Published_;
  };

  Impl(StageLoad Load, StageAdmissionSettings Settings)
      : Load_(std::move(Load)), Random_(Load_.Seed_),
        Services_(Load_.Services_.size()), Hosts_(Load_.Hosts_),
        Admission_(*this, Settings) {
    for (std::size_t I = 0; I < Services_.size(); ++I) {
      state::Service Entry{Load_.Services_[I].Name_, 0,
                           Load_.Services_[I].Capacity_, std::nullopt};
      Table_.Services_[Entry.Name_] = Entry;
      for (std::size_t J = 0; J < Load_.Services_[I].Targets_; ++J)
        Services_[I].Targets_.push_back(
            {Entry.Name_ + std::to_string(J), dataCentre(J)});
    }
    Outcome_.Day_.resize(Load_.Classes_.size());
    Outcome_.Peak_.resize(Load_.Classes_.size());
    Outcome_.Calls_.resize(Services_.size());
  }

  void at(SteadyTime Time, std::function<void()> Action) {
    Events_.emplace(Time, std::move(Action));
  }
  bool inPeak(SteadyTime Time) const {
    return Time >= Start + Load_.PeakBegin_ && Time < Start + Load_.PeakEnd_;
  }
  std::size_t serviceIndex(const std::string &Name) const {
    std::size_t I = 0;
    while (Load_.Services_[I].Name_ != Name)
      ++I;
    return I;
  }
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random_);
  }

  QueueState queueState(const std::string &Name) override {
    QueueState Sum;
    for (std::size_t I = 0; I < Hosts_.size(); ++I)
      for (const QueueState &State : I == DecidingHost_
                                         ? Hosts_[I].Work_.states(Now_)
                                         : Hosts_[I].Published_)
        if (State.Service_ == Name)
          addPieces(State, Sum);
    std::size_t Index = serviceIndex(Name);
    const ReplayService &Config = Load_.Services_[Index];
    double Batch = static_cast<double>(Config.Capacity_.MaxBatchPieces_);
    Sum.PiecesPerSecond_ =
        1000 * static_cast<double>(Config.Targets_) * Batch /
        static_cast<double>(callTime(Config.Capacity_, Batch).count()) *
        Services_[Index].Statistics_.yield();
    return Sum;
  }

  void arrive(std::size_t Class) {
    const ReplayClass &Kind = Load_.Classes_[Class];
    Requests_.push_back(std::make_unique<Request>());
    Request &New = *Requests_.back();
    New.Class_ = Class;
    New.Host_ = Random_() % Hosts_.size();
    New.Id_ = std::to_string(Requests_.size());
    RequestsById_[New.Id_] = &New;
    New.Arrival_ = Now_;
    New.DataCentre_ = dataCentre(Random_());
    New.Plan_ =
        std::make_unique<StagePlan>(Kind.Steps_, Kind.Counts_(Random_), Table_);
    Milliseconds Usable = std::min(4 * Kind.Aim_ - FirstEventReserve,
                                   Kind.Deadline_ - GenerationReserve);
    New.UsableUntil_ = Now_ + Usable;
    int Priority = uniform() < Load_.AccountShare_
                       ? static_cast<int>(Random_() % 3)
                       : Kind.Priority_;
    New.Outstanding_ = {New.Plan_.get(), Priority,
                        Now_ + Kind.Aim_ - FirstEventReserve, false};
    at(New.UsableUntil_, [this, &New] { fail(New); });
    Admission_.onRequest(*New.Plan_);
    decide(New);
  }

  void decide(Request &Current) {
    if (Current.Ended_)
      return;
    DecidingHost_ = Current.Host_;
    StageStart Decision =
        Current.Plan_->isComplete()
            ? StageStart::Begin
            : Admission_.decide(*Current.Plan_, Current.Outstanding_.Priority_,
                                Current.Outstanding_.ReadyBy_,
                                Current.UsableUntil_, Now_);
    if (Decision == StageStart::Refuse) {
      end(Current, Now_ == Current.Arrival_ ? &ReplayCounts::Refused_
                                            : &ReplayCounts::Failed_);
      return;
    }
    Hosts_[Current.Host_].Work_.add(Current.Outstanding_);
    if (Decision == StageStart::Wait) {
      at(Now_ + StartCheckPeriod, [this, &Current] { decide(Current); });
      return;
    }
    Current.Outstanding_.Started_ = true;
    proceed(Current);
  }

  void fail(Request &Current) {
    if (!Current.Ended_ && !Current.Plan_->isComplete())
      end(Current, &ReplayCounts::Failed_);
  }

  void end(Request &Current, std::size_t ReplayCounts::*Count) {
    if (Current.Ended_)
      return;
    Current.Ended_ = true;
    Hosts_[Current.Host_].Work_.remove(Current.Outstanding_);
    ++(Outcome_.Day_[Current.Class_].*Count);
    if (inPeak(Current.Arrival_))
      ++(Outcome_.Peak_[Current.Class_].*Count);
    if (Count != &ReplayCounts::InAim_)
      for (const auto &[Index, Pieces] : Current.PeakPieces_)
        Outcome_.Calls_[Index].Wasted_ += Pieces;
    double Worth = Load_.Classes_[Current.Class_].Worth_;
    Outcome_.MaxWorth_ += Worth;
    if (Count == &ReplayCounts::InAim_)
      Outcome_.Worth_ += Worth;
    else if (Count == &ReplayCounts::Late_)
      Outcome_.Worth_ += LateWorth * Worth;
    at(Now_ + Load_.MessageTime_, [this, &Current] {
      for (Service &Each : Services_)
        Each.Queue_.cancelRequest("host", Current.Id_);
    });
    release(Current.Plan_->releaseAllResults());
  }

  void proceed(Request &Current) {
    if (Current.Ended_)
      return;
    if (Current.Plan_->isComplete()) {
      at(Now_ + Load_.ReadDelay_, [this, &Current] { answer(Current); });
      return;
    }
    for (StagePlan::PieceId Id : Current.Plan_->takeReadyPieces())
      submit(Current, Id);
  }

  void answer(Request &Current) {
    if (Current.Ended_)
      return;
    for (const std::string &Handle : Current.Plan_->finalHandles())
      if (!Results_.count(Handle) || Results_[Handle].ExpiresAt_ <= Now_) {
        release(Current.Plan_->discardFinalResults());
        proceed(Current);
        return;
      }
    const ReplayClass &Kind = Load_.Classes_[Current.Class_];
    end(Current, Now_ <= Current.Arrival_ + Kind.Aim_ ? &ReplayCounts::InAim_
                                                      : &ReplayCounts::Late_);
  }

  std::string preferredDataCentre(const Request &Current, std::size_t Stage) {
    const StagePlan &Plan = *Current.Plan_;
    std::map<std::string, std::uint64_t> Bytes;
    for (std::size_t Earlier : Plan.step(Stage).Dependencies_)
      for (const std::string &Handle : Plan.handles(Earlier)) {
        const Result &Input = Results_[Handle];
        Bytes[Services_[Input.Service_].Targets_[Input.Target_].DataCentre_] +=
            Plan.step(Earlier).ResultBytes_;
      }
    std::string Best = Plan.isFinalStage(Stage) ? Current.DataCentre_ : "";
    std::uint64_t Most = Plan.step(Stage).ResultBytes_;
    for (const auto &[Name, Sum] : Bytes)
      if (Sum > Most) {
        Best = Name;
        Most = Sum;
      }
    return Best;
  }

  void submit(Request &Current, StagePlan::PieceId Id) {
    const StagePlan &Plan = *Current.Plan_;
    QueuedPiece Piece;
    Piece.Piece_ = {Current.Id_, Id.Stage_, Id.Piece_, "",
                    Plan.inputHandles(Id.Stage_)};
    Piece.EntryHost_ = "host";
    Piece.Service_ = Plan.step(Id.Stage_).Service_;
    Piece.ResultBytes_ = Plan.step(Id.Stage_).ResultBytes_;
    Piece.Priority_ = Current.Outstanding_.Priority_;
    Piece.AimBy_ =
        Current.Outstanding_.ReadyBy_ - Plan.timeAfterStage(Id.Stage_);
    Piece.ExpiresAt_ = Current.UsableUntil_ - Plan.timeAfterStage(Id.Stage_);
    if (std::optional<SteadyTime> Expiry = Plan.inputsExpireAt(Id.Stage_))
      Piece.ExpiresAt_ = std::min(Piece.ExpiresAt_, *Expiry - InputReadReserve);
    Piece.DataCentre_ = preferredDataCentre(Current, Id.Stage_);
    at(Now_ + Load_.MessageTime_, [this, Piece] {
      std::size_t Index = serviceIndex(Piece.Service_);
      Services_[Index].Queue_.push(Piece);
      postStartCalls(Index);
    });
  }

  void postStartCalls(std::size_t Index) {
    if (std::exchange(Services_[Index].StartPosted_, true))
      return;
    at(Now_, [this, Index] {
      Services_[Index].StartPosted_ = false;
      while (!Services_[Index].Queue_.empty() && tryStartCall(Index))
        ;
    });
  }

  bool tryStartCall(std::size_t Index) {
    Service &Current = Services_[Index];
    const state::StageCapacity &Capacity = Load_.Services_[Index].Capacity_;
    FreeTarget Offer;
    std::vector<std::pair<double, std::size_t>> Free;
    for (std::size_t I = 0; I < Current.Targets_.size(); ++I) {
      const Target &Each = Current.Targets_[I];
      SteadyTime FreeAt = Each.Busy_ ? Each.FreeAt_ : Now_;
      auto [Entry, IsNew] =
          Offer.NextFreeTimes_.emplace(Each.DataCentre_, FreeAt);
      Entry->second = std::min(Entry->second, FreeAt);
      if (!Each.Busy_)
        Free.emplace_back(Each.Cost_, I);
    }
    std::sort(Free.begin(), Free.end());
    for (const auto &[Cost, I] : Free) {
      Target &Chosen = Current.Targets_[I];
      Offer.DataCentre_ = Chosen.DataCentre_;
      Offer.FreeResultBytes_ = Current.Ledger_.freeBytes(
          Chosen.Id_, Capacity.ResultMemoryBytes_, Now_);
      ReplayCalls &Calls = Outcome_.Calls_[Index];
      if (inPeak(Now_))
        Calls.LongestQueue_ =
            std::max(Calls.LongestQueue_, Current.Queue_.size());
      std::vector<QueuedPiece> Pieces =
          Current.Queue_.composeCall(Offer, Capacity, Now_);
      if (Pieces.empty())
        continue;
      startCall(Index, I, std::move(Pieces), Offer.FreeResultBytes_);
      return true;
    }
    return false;
  }

  void startCall(std::size_t Index, std::size_t TargetIndex,
                 std::vector<QueuedPiece> Pieces, std::uint64_t FreeBytes) {
    Service &Current = Services_[Index];
    const state::StageCapacity &Capacity = Load_.Services_[Index].Capacity_;
    Target &Chosen = Current.Targets_[TargetIndex];
    double Work = 0;
    std::uint64_t Bytes = 0;
    for (const QueuedPiece &Piece : Pieces) {
      Work += Load_.Classes_[RequestsById_[Piece.Piece_.RequestId_]->Class_]
                  .WorkFactor_;
      Bytes += Piece.ResultBytes_;
    }
    Milliseconds Network(static_cast<std::int64_t>(
        -std::log(1 - uniform()) *
        static_cast<double>(Load_.NetworkTime_.count())));
    Milliseconds Duration = callTime(Capacity, Work) + Network;
    Chosen.Busy_ = true;
    Chosen.FreeAt_ =
        Now_ + callTime(Capacity, static_cast<double>(Pieces.size()));
    Chosen.Cost_ = uniform();
    Current.Ledger_.reserve(Chosen.Id_, Bytes);
    ReplayCalls &Calls = Outcome_.Calls_[Index];
    if (inPeak(Now_)) {
      ++Calls.Calls_;
      Calls.Pieces_ += Pieces.size();
      Calls.FreeBytes_ += FreeBytes;
      Calls.BusyTime_ += Duration;
      for (const QueuedPiece &Piece : Pieces)
        ++RequestsById_[Piece.Piece_.RequestId_]->PeakPieces_[Index];
    }
    // The target reads its inputs first and works on the pieces that have all.
    std::vector<bool> HasInputs;
    for (const QueuedPiece &Piece : Pieces)
      HasInputs.push_back(std::all_of(
          Piece.Piece_.Inputs_.begin(), Piece.Piece_.Inputs_.end(),
          [&](const std::string &Handle) {
            auto Found = Results_.find(Handle);
            return Found != Results_.end() && Found->second.ExpiresAt_ > Now_;
          }));
    bool Saturated = Current.Queue_.size() >= Capacity.MaxBatchPieces_;
    if (Chosen.ReportsInputsRead_)
      at(Now_ + Capacity.CallOverhead_ / InputReadDivisor + Load_.MessageTime_,
         [=, this] { reportInputsRead(Pieces, HasInputs); });
    bool IsInTime =
        Now_ + Duration < Chosen.FreeAt_ + Capacity.CallOverhead_ / 2;
    at(Now_ + Duration, [=, this] {
      Service &Ended = Services_[Index];
      Ended.Targets_[TargetIndex].Busy_ = false;
      Ended.Targets_[TargetIndex].ReportsInputsRead_ = IsInTime;
      Ended.Ledger_.unreserve(Ended.Targets_[TargetIndex].Id_, Bytes);
      Ended.Statistics_.add(Capacity, Pieces.size(), Saturated, Duration);
      for (std::size_t I = 0; I < Pieces.size(); ++I)
        complete(Index, TargetIndex, Pieces[I], HasInputs[I]);
      postStartCalls(Index);
    });
  }

  void reportInputsRead(const std::vector<QueuedPiece> &Pieces,
                        const std::vector<bool> &HasInputs) {
    for (std::size_t I = 0; I < Pieces.size(); ++I) {
      Request &Owner = *RequestsById_[Pieces[I].Piece_.RequestId_];
      if (HasInputs[I] && !Pieces[I].Piece_.Inputs_.empty())
        release(Owner.Plan_->onInputsRead(
            {Pieces[I].Piece_.Stage_, Pieces[I].Piece_.Piece_}));
    }
  }

  void complete(std::size_t Index, std::size_t TargetIndex,
                const QueuedPiece &Piece, bool HasInputs) {
    Request &Owner = *RequestsById_[Piece.Piece_.RequestId_];
    StagePlan::PieceId Id{Piece.Piece_.Stage_, Piece.Piece_.Piece_};
    if (!HasInputs) {
      release(Owner.Plan_->onFailed(Id, true));
      proceed(Owner);
      return;
    }
    const state::StageCapacity &Capacity = Load_.Services_[Index].Capacity_;
    std::string Handle = std::to_string(++LastHandle_);
    SteadyTime Expiry = Now_ + Capacity.ResultLifetime_;
    Results_[Handle] = {Index, TargetIndex, Expiry};
    Services_[Index].Ledger_.add(Services_[Index].Targets_[TargetIndex].Id_,
                                 Handle, Handle, Piece.ResultBytes_, Expiry);
    if (Owner.Ended_) {
      release({{Id.Stage_, Handle}});
      return;
    }
    at(Now_ + Load_.MessageTime_, [this, &Owner, Id, Handle] {
      if (Owner.Ended_) {
        release({{Id.Stage_, Handle}});
        return;
      }
      release(Owner.Plan_->onCompleted(Id, Handle, Now_));
      // Only changes of a whole stage make other pieces ready.
      if (Owner.Plan_->isStageComplete(Id.Stage_))
        proceed(Owner);
    });
  }

  void release(const std::vector<StagePlan::ReleasedResult> &List) {
    for (const StagePlan::ReleasedResult &Released : List)
      at(Now_ + 3 * Load_.MessageTime_, [this, Handle = Released.Handle_] {
        auto Found = Results_.find(Handle);
        if (Found == Results_.end())
          return;
        Service &Holder = Services_[Found->second.Service_];
        Holder.Ledger_.remove(Holder.Targets_[Found->second.Target_].Id_,
                              Handle);
        postStartCalls(Found->second.Service_);
        Results_.erase(Found);
      });
  }

  void checkQueues(SteadyTime End) {
    for (std::size_t I = 0; I < Services_.size(); ++I) {
      for (const QueuedPiece &Piece : Services_[I].Queue_.takeExpired(Now_))
        end(*RequestsById_[Piece.Piece_.RequestId_], &ReplayCounts::Failed_);
      postStartCalls(I);
    }
    if (Now_ < End)
      at(Now_ + CheckPeriod, [=, this] { checkQueues(End); });
  }

  void publish(std::size_t Index, SteadyTime End) {
    Hosts_[Index].Published_ = Hosts_[Index].Work_.states(Now_);
    if (Now_ < End)
      at(Now_ + Load_.PingPeriod_, [=, this] { publish(Index, End); });
  }

  ReplayResult run() {
    SteadyTime End = Start + Load_.Duration_ + Seconds(12);
    for (const ReplayArrival &Each : drawArrivals(Load_, Random_))
      at(Start + Each.At_, [this, Each] { arrive(Each.Class_); });
    at(Start, [=, this] { checkQueues(End); });
    for (std::size_t I = 0; I < Hosts_.size(); ++I)
      at(Start + Load_.PingPeriod_ * I / Hosts_.size(),
         [=, this] { publish(I, End); });
    while (!Events_.empty()) {
      auto Next = Events_.extract(Events_.begin());
      Now_ = Next.key();
      Next.mapped()();
    }
    for (std::size_t I = 0; I < Services_.size(); ++I) {
      ReplayCalls &Calls = Outcome_.Calls_[I];
      Seconds Peak = Load_.PeakEnd_ - Load_.PeakBegin_;
      Calls.Busy_ = std::chrono::duration<double>(Calls.BusyTime_) /
                    (Peak * static_cast<double>(Services_[I].Targets_.size()));
    }
    return Outcome_;
  }

  StageLoad Load_;
  std::mt19937 Random_;
  state::RoutingTable Table_;
  std::vector<Service> Services_;
  std::vector<Host> Hosts_;
  StageAdmission Admission_;
  std::size_t DecidingHost_ = 0;
  std::multimap<SteadyTime, std::function<void()>> Events_;
  SteadyTime Now_ = Start;
  std::vector<std::unique_ptr<Request>> Requests_;
  std::map<std::string, Request *> RequestsById_;
  std::map<std::string, Result> Results_;
  std::uint64_t LastHandle_ = 0;
  ReplayResult Outcome_;
};

StageLoadReplay::StageLoadReplay(StageLoad Load,
                                 StageAdmissionSettings Admission)
    : Impl_(std::make_unique<Impl>(std::move(Load), Admission)) {}

StageLoadReplay::~StageLoadReplay() = default;

ReplayResult StageLoadReplay::run() { return Impl_->run(); }

} // namespace amaranth::testing
