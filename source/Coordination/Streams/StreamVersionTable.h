/// \file
/// The software versions of the targets that began callers' streams.
#ifndef AMARANTH_COORDINATION_STREAMS_STREAMVERSIONTABLE_H
#define AMARANTH_COORDINATION_STREAMS_STREAMVERSIONTABLE_H

#include "State/TargetRecord.h"
#include "Support/Time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace amaranth::coordination {

/// Settings of StreamVersionTable.
struct StreamVersionTableSettings {
  /// How long a stream is remembered after it was last recorded, and how long
  /// a version counts after its last target has left.
  Milliseconds Lifetime_{60000};
  /// The oldest streams are forgotten beyond this number.
  std::size_t MaxStreams_ = 50000;
  /// Streams with longer ids are not recorded, which bounds the memory.
  std::size_t MaxIdBytes_ = 256;
  /// During a longer interruption of the store, targets of another version may
  /// have come and gone unseen.
  Milliseconds ShortInterruption_{5000};
};

/// Knows which version began each stream that this host has begun, and whether
/// a service had only one version for as long as streams are remembered. What
/// two versions write does not fit together, so a stream whose version is not
/// certain must not be continued.
class StreamVersionTable final {
public:
  explicit StreamVersionTable(StreamVersionTableSettings Settings = {});

  /// The record of a target is new or has changed.
  void onTarget(const state::TargetRecord &Target, SteadyTime Now);
  void onTargetRemoved(const std::string &Id, SteadyTime Now);
  /// Whether all records are known and follow the store. Call often.
  void setCurrent(bool IsCurrent, SteadyTime Now);

  /// Records, or records again, that \p Version of \p Service began a stream.
  void onStreamBegun(const std::string &Service, const std::string &StreamId,
                     const std::string &Version, SteadyTime Now);
  /// The version of \p Service that began the stream, or nothing if that is not
  /// certain.
  std::optional<std::string> findVersion(const std::string &Service,
                                         const std::string &StreamId,
                                         SteadyTime Now) const;
  /// The version of \p Service if no other one can have begun a stream that a
  /// caller still takes up.
  std::optional<std::string> onlyVersion(const std::string &Service,
                                         SteadyTime Now) const;
  /// Call often.
  void forgetOld(SteadyTime Now);
  std::size_t size() const { return Streams_.size(); }

private:
  struct Stream {
    std::string Service_;
    std::string Version_;
    SteadyTime RecordedAt_;
  };
  struct RecordedId {
    std::string StreamId_;
    SteadyTime RecordedAt_;
  };
  struct VersionUse {
    std::set<std::string> Targets_;
    SteadyTime LastTargetLeftAt_{};
  };
  struct TargetVersion {
    std::string Service_;
    std::string Version_;
  };

  bool isInUse(const VersionUse &Use, SteadyTime Now) const;
  void forgetFirst();

  StreamVersionTableSettings Settings_;
  std::unordered_map<std::string, Stream> Streams_;
  /// Ids in the order in which they were recorded; a stream that was recorded
  /// again has several.
  std::deque<RecordedId> Order_;
  std::map<std::string, TargetVersion> Targets_;
  /// By service and version.
  std::map<std::string, std::map<std::string, VersionUse>> Versions_;
  /// Since when no change of the records can have been missed.
  std::optional<SteadyTime> CompleteSince_;
  std::optional<SteadyTime> InterruptedAt_;
};

} // namespace amaranth::coordination

#endif
