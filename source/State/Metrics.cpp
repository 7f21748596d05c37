#include "State/Metrics.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <mutex>
#include <string_view>

namespace amaranth::state {

namespace {

/// True for valid names of metrics and labels. Prometheus also allows ':', but
/// reserves it for recording rules.
bool isMetricName(std::string_view Name) {
  auto IsLetter = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') || C == '_';
  };
  if (Name.empty() || !IsLetter(Name[0]))
    return false;
  return std::all_of(Name.begin(), Name.end(), [&](char C) {
    return IsLetter(C) || (C >= '0' && C <= '9');
  });
}

bool areLabelNames(const MetricLabels &Labels) {
  return std::all_of(Labels.begin(), Labels.end(),
                     [](const MetricLabel &Label) {
                       return isMetricName(Label.Name_) && Label.Name_ != "le";
                     });
}

std::string escapeText(std::string_view Text, bool EscapeQuotes) {
  std::string Escaped;
  for (char C : Text) {
    if (C == '\\')
      Escaped += "\\\\";
    else if (C == '\n')
      Escaped += "\\n";
    else if (C == '"' && EscapeQuotes)
      Escaped += "\\\"";
    else
      Escaped.push_back(C);
  }
  return Escaped;
}

std::string formatNumber(double Value) {
  if (std::isnan(Value))
    return "NaN";
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  constexpr std::size_t MaxDoubleChars = 32;
  std::array<char, MaxDoubleChars> Buffer;
  auto End = std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Value);
  return std::string(Buffer.data(), End.ptr);
}

/// Formats a bucket bound without its floating-point rounding error.
std::string formatBound(double Seconds) {
  if (std::isinf(Seconds))
    return "+Inf";
  constexpr std::size_t MaxDoubleChars = 32;
  constexpr int SignificantDigits = 6;
  std::array<char, MaxDoubleChars> Buffer;
  auto End =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Seconds,
                    std::chars_format::general, SignificantDigits);
  return std::string(Buffer.data(), End.ptr);
}

/// Appends \p Name with its labels, and the bucket bound \p UpperBound unless
/// it is empty.
void appendSeries(std::string &Text, const std::string &Name,
                  const MetricLabels &Labels,
                  const std::string &UpperBound = "") {
  Text += Name;
  char Separator = '{';
  for (const MetricLabel &Label : Labels) {
    Text +=
        Separator + Label.Name_ + "=\"" + escapeText(Label.Value_, true) + "\"";
    Separator = ',';
  }
  if (!UpperBound.empty()) {
    Text += Separator + ("le=\"" + UpperBound + "\"");
    Separator = ',';
  }
  Text += Separator == '{' ? " " : "} ";
}

void appendLatency(std::string &Text, const std::string &Name,
                   const MetricLabels &Labels,
                   const LatencyHistogram &Histogram) {
  LatencyBuckets Buckets = Histogram.buckets();
  for (const LatencyBuckets::Bucket &Bucket : Buckets.Buckets_) {
    appendSeries(Text, Name + "_bucket", Labels,
                 formatBound(Bucket.UpperSeconds_));
    Text += std::to_string(Bucket.Count_) + "\n";
  }
  appendSeries(Text, Name + "_sum", Labels);
  Text += formatNumber(Buckets.SumSeconds_) + "\n";
  appendSeries(Text, Name + "_count", Labels);
  Text += std::to_string(Buckets.Buckets_.back().Count_) + "\n";
}

} // namespace

Metrics::Metrics(const MetricsSettings &Settings) : Settings_(Settings) {}

Counter &Metrics::counter(const std::string &Name, MetricLabels Labels) {
  return findOrCreate(Counters_, Name, std::move(Labels));
}

Gauge &Metrics::gauge(const std::string &Name, MetricLabels Labels) {
  return findOrCreate(Gauges_, Name, std::move(Labels));
}

LatencyHistogram &Metrics::latency(const std::string &Name,
                                   MetricLabels Labels) {
  return findOrCreate(Latencies_, Name, std::move(Labels));
}

void Metrics::describe(const std::string &Name, std::string Help) {
  std::unique_lock Lock(Mutex_);
  Help_[Name] = std::move(Help);
}

template <typename T>
T &Metrics::findOrCreate(Families<T> &FamiliesOfType, const std::string &Name,
                         MetricLabels Labels) {
  std::sort(Labels.begin(), Labels.end());
  {
    std::shared_lock Lock(Mutex_);
    auto Family = FamiliesOfType.find(Name);
    if (Family != FamiliesOfType.end()) {
      auto Found = Family->second.find(Labels);
      if (Found != Family->second.end())
        return *Found->second;
    }
  }
  return create(FamiliesOfType, Name, std::move(Labels));
}

template <typename T>
T &Metrics::create(Families<T> &FamiliesOfType, const std::string &Name,
                   MetricLabels Labels) {
  assert(isMetricName(Name) && areLabelNames(Labels));
  std::unique_lock Lock(Mutex_);
  assert((FamiliesOfType.contains(Name) || !isRegistered(Name)) &&
         "the metric name is already used for another type of metric");
  Series<T> &Family = FamiliesOfType[Name];
  if (Family.size() >= Settings_.MaxSeries_ && !Family.contains(Labels))
    Labels = {{"overflow", "true"}};
  std::unique_ptr<T> &Entry = Family[std::move(Labels)];
  if (!Entry)
    Entry = std::make_unique<T>();
  return *Entry;
}

bool Metrics::isRegistered(const std::string &Name) const {
  return Counters_.contains(Name) || Gauges_.contains(Name) ||
         Latencies_.contains(Name);
}

void Metrics::appendHeader(std::string &Text, const std::string &Name,
                           const char *Type) const {
  auto Help = Help_.find(Name);
  if (Help != Help_.end())
    Text += "# HELP " + Name + " " + escapeText(Help->second, false) + "\n";
  Text += "# TYPE " + Name + " " + Type + "\n";
}

std::string Metrics::exportText() const {
  std::shared_lock Lock(Mutex_);
  std::string Text;
  for (const auto &[Name, Family] : Counters_) {
    appendHeader(Text, Name, "counter");
    for (const auto &[Labels, Entry] : Family) {
      appendSeries(Text, Name, Labels);
      Text += std::to_string(Entry->value()) + "\n";
    }
  }
  for (const auto &[Name, Family] : Gauges_) {
    appendHeader(Text, Name, "gauge");
    for (const auto &[Labels, Entry] : Family) {
      appendSeries(Text, Name, Labels);
      Text += formatNumber(Entry->value()) + "\n";
    }
  }
  for (const auto &[Name, Family] : Latencies_) {
    appendHeader(Text, Name, "histogram");
    for (const auto &[Labels, Entry] : Family)
      appendLatency(Text, Name, Labels, *Entry);
  }
  return Text;
}

} // namespace amaranth::state
