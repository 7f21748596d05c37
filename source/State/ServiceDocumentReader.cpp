#include "State/TomlReader.h"

#include <algorithm>

namespace amaranth::state {

namespace {

/// Maximum size of a value in the key-value service, less space for the JSON
/// object that contains the document.
constexpr std::size_t MaxEscapedBytes = 1000000 - 4096;
constexpr std::size_t MaxStages = 16;
constexpr IntegerRange DeadlineRange = {1, 3600000};
constexpr IntegerRange TopKRange = {1, 1000};
constexpr NumberRange RateRange = {0, 1e9};
constexpr NumberRange WeightRange = {0, 1e6};
constexpr NumberRange AttainmentRange = {0, 1, true};

bool acceptAnyText(std::string_view) { return true; }
/// For keys whose values are validated after they are read.
constexpr TextRule AnyTextRule = {acceptAnyText, "a string"};

/// Size in bytes of \p Text as a JSON string.
std::size_t escapedSize(std::string_view Text) {
  auto NeedsEscape = [](char C) {
    return C == '"' || C == '\\' || C == '\n' || C == '\r' || C == '\t';
  };
  auto EscapeCount = std::count_if(Text.begin(), Text.end(), NeedsEscape);
  return Text.size() + static_cast<std::size_t>(EscapeCount);
}

std::string toLower(std::string Hex) {
  for (char &C : Hex)
    if (C >= 'A' && C <= 'F')
      C = static_cast<char>(C - 'A' + 'a');
  return Hex;
}

/// Records a fault for each value of a key that was already used in another
/// entry.
class UniquenessCheck final {
public:
  explicit UniquenessCheck(const char *Key) : Key_(Key) {}

  void add(TomlReader &Reader, const std::string &Value, std::string Found) {
    if (!Seen_.insert(Value).second)
      Reader.addFault(Key_, std::move(Found) + " a second time",
                      "a value that no other entry has");
  }
  void add(TomlReader &Reader, const std::string &Value) {
    add(Reader, Value, quoteFound(Value));
  }

private:
  const char *Key_;
  std::set<std::string> Seen_;
};

/// Reads one document. Each step records its faults and does not stop the
/// following steps.
class ServiceDocumentReader final {
public:
  ServiceDocumentReader(const toml::table &Table,
                        std::vector<DocumentFault> &Faults)
      : RootReader_(Table, "", Faults) {}

  ServiceDocument read();

private:
  void readTargets();
  void readStages();
  void readStage(TomlReader &Reader);
  void readKind(TomlReader &Reader, StageKind &Kind);
  void checkStageOrder(TomlReader &Reader, const Stage &Entry);
  void checkLastStage(std::vector<TomlReader> &Readers);
  void readCalls();
  void readAccounts();
  void readObjective();
  void readTargetNames(TomlReader &Reader, std::vector<std::string> &Names);
  void checkStagesOrCalls();
  bool hasStage(StageKind Kind) const;

  TomlReader RootReader_;
  ServiceDocument Document_;
  std::set<std::string> TargetNames_;
  bool AllKindsValid_ = true; ///< Of the stages read so far.
};

ServiceDocument ServiceDocumentReader::read() {
  RootReader_.readText("name", Presence::Required, NameRule, Document_.Name_);
  RootReader_.readMilliseconds("deadline_ms", DeadlineRange,
                               Document_.Deadline_);
  RootReader_.readFlag("allow_volatile", Document_.AllowVolatile_);
  readTargets();
  readStages();
  readCalls();
  readAccounts();
  readObjective();
  checkStagesOrCalls();
  RootReader_.rejectUnknown();
  return std::move(Document_);
}

void ServiceDocumentReader::readTargets() {
  UniquenessCheck Names("name");
  UniquenessCheck Addresses("address");
  for (TomlReader &Reader : RootReader_.readTables("target")) {
    Target Entry;
    if (Reader.readText("name", Presence::Required, NameRule, Entry.Name_))
      Names.add(Reader, Entry.Name_);
    // A process with two names would count as two failure domains.
    if (Reader.readText("address", Presence::Required, AddressRule,
                        Entry.Address_))
      Addresses.add(Reader, Entry.Address_);
    Reader.readText("data_centre", Presence::Required, NameRule,
                    Entry.DataCentre_);
    Reader.readFlag("checks_fencing", Entry.ChecksFencing_);
    Reader.readFlag("reports_load", Entry.ReportsLoad_);
    Reader.rejectUnknown();
    TargetNames_.insert(Entry.Name_);
    Document_.Targets_.push_back(std::move(Entry));
  }
}

void ServiceDocumentReader::readStages() {
  std::vector<TomlReader> Readers = RootReader_.readTables("stage");
  UniquenessCheck Names("name");
  for (TomlReader &Reader : Readers) {
    readStage(Reader);
    const std::string &Name = Document_.Stages_.back().Name_;
    if (!Name.empty())
      Names.add(Reader, Name);
  }
  if (!Readers.empty())
    checkLastStage(Readers);
  if (Readers.size() > MaxStages)
    RootReader_.addFault("stage", std::to_string(Readers.size()) + " stages",
                         "at most " + std::to_string(MaxStages));
}

void ServiceDocumentReader::readStage(TomlReader &Reader) {
  Stage Entry;
  Reader.readText("name", Presence::Required, NameRule, Entry.Name_);
  readKind(Reader, Entry.Kind_);
  // Retrieve and rerank calls carry no model.
  bool NeedsModel =
      Entry.Kind_ == StageKind::Encode || Entry.Kind_ == StageKind::Generate;
  Reader.readText("model",
                  NeedsModel && AllKindsValid_ ? Presence::Required
                                               : Presence::Optional,
                  ModelRule, Entry.Model_);
  readTargetNames(Reader, Entry.Targets_);
  Reader.readInteger("top_k", TopKRange, Entry.TopK_);
  Reader.rejectUnknown();
  if (AllKindsValid_)
    checkStageOrder(Reader, Entry);
  Document_.Stages_.push_back(std::move(Entry));
}

void ServiceDocumentReader::readKind(TomlReader &Reader, StageKind &Kind) {
  std::string Text;
  bool IsValid = false;
  if (Reader.readText("kind", Presence::Required, AnyTextRule, Text)) {
    for (StageKind Candidate : {StageKind::Encode, StageKind::Retrieve,
                                StageKind::Rerank, StageKind::Generate}) {
      if (Text != toString(Candidate))
        continue;
      Kind = Candidate;
      IsValid = true;
    }
    if (!IsValid)
      Reader.addFault("kind", quoteFound(Text),
                      "\"encode\", \"retrieve\", \"rerank\" or \"generate\"");
  }
  AllKindsValid_ = AllKindsValid_ && IsValid;
}

bool ServiceDocumentReader::hasStage(StageKind Kind) const {
  return std::any_of(Document_.Stages_.begin(), Document_.Stages_.end(),
                     [Kind](const Stage &S) { return S.Kind_ == Kind; });
}

void ServiceDocumentReader::checkStageOrder(TomlReader &Reader,
                                            const Stage &Entry) {
  if (Entry.Kind_ == StageKind::Retrieve && !hasStage(StageKind::Encode))
    Reader.addFault("kind", "a retrieve stage without an embedding",
                    "an encode stage before it");
  if (Entry.Kind_ == StageKind::Rerank && !hasStage(StageKind::Retrieve))
    Reader.addFault("kind", "a rerank stage without documents",
                    "a retrieve stage before it");
}

void ServiceDocumentReader::checkLastStage(std::vector<TomlReader> &Readers) {
  if (!AllKindsValid_ || Document_.Stages_.back().Kind_ == StageKind::Generate)
    return;
  Readers.back().addFault(
      "kind",
      std::string("a last stage of kind ") +
          toString(Document_.Stages_.back().Kind_),
      "a generate stage last, because it produces the answer");
}

void ServiceDocumentReader::readCalls() {
  UniquenessCheck Names("name");
  for (TomlReader &Reader : RootReader_.readTables("call")) {
    PlainCall Entry;
    if (Reader.readText("name", Presence::Required, NameRule, Entry.Name_))
      Names.add(Reader, Entry.Name_);
    Reader.readFlag("idempotent", Entry.Idempotent_);
    readTargetNames(Reader, Entry.Targets_);
    Reader.rejectUnknown();
    Document_.Calls_.push_back(std::move(Entry));
  }
}

void ServiceDocumentReader::readTargetNames(TomlReader &Reader,
                                            std::vector<std::string> &Names) {
  if (!Reader.readTexts("targets", Presence::Required, NameRule, Names))
    return;
  for (std::size_t I = 0; I < Names.size(); ++I)
    if (!TargetNames_.contains(Names[I]))
      Reader.addElementFault("targets", I, quoteFound(Names[I]),
                             "the name of a [[target]] of this document");
}

void ServiceDocumentReader::readAccounts() {
  UniquenessCheck Names("name");
  UniquenessCheck Digests("key_digest");
  for (TomlReader &Reader : RootReader_.readTables("account")) {
    ClientAccount Entry;
    if (Reader.readText("name", Presence::Required, NameRule, Entry.Name_))
      Names.add(Reader, Entry.Name_);
    if (Reader.readText("key_digest", Presence::Required, DigestRule,
                        Entry.KeyDigest_)) {
      Entry.KeyDigest_ = toLower(std::move(Entry.KeyDigest_));
      Digests.add(Reader, Entry.KeyDigest_, "a key digest (not shown)");
    }
    Reader.readNumber("requests_per_second", RateRange,
                      Entry.RequestsPerSecond_);
    Reader.readNumber("weight", WeightRange, Entry.Weight_);
    Reader.rejectUnknown();
    Document_.Accounts_.push_back(std::move(Entry));
  }
}

void ServiceDocumentReader::readObjective() {
  std::optional<TomlReader> Reader = RootReader_.readTable("objective");
  if (!Reader)
    return;
  Reader->readNumber("attainment", AttainmentRange,
                     Document_.Objective_.Attainment_);
  Reader->readMilliseconds("short_p99_ms", DeadlineRange,
                           Document_.Objective_.ShortP99_);
  Reader->rejectUnknown();
}

void ServiceDocumentReader::checkStagesOrCalls() {
  if (Document_.Stages_.empty() && Document_.Calls_.empty())
    RootReader_.addFault(
        "stage", "neither [[stage]] nor [[call]]",
        "at least one stage (a pipeline) or call (a plain service)");
  if (!Document_.Stages_.empty() && !Document_.Calls_.empty())
    RootReader_.addFault(
        "call", "both [[stage]] and [[call]]",
        "stages (a pipeline) or calls (a plain service), not both");
}

} // namespace

DocumentReadResult readServiceDocument(std::string_view Text) {
  DocumentReadResult Reading;
  std::size_t Bytes = escapedSize(Text);
  if (Bytes > MaxEscapedBytes) {
    Reading.Faults_.push_back(
        {1, "", std::to_string(Bytes) + " bytes as a JSON string",
         "at most " + std::to_string(MaxEscapedBytes) + " bytes"});
    return Reading;
  }
  std::optional<toml::table> Table = parseToml(Text, Reading.Faults_);
  if (!Table)
    return Reading;
  ServiceDocument Document =
      ServiceDocumentReader(*Table, Reading.Faults_).read();
  if (Reading.Faults_.empty())
    Reading.Document_ = std::move(Document);
  return Reading;
}

} // namespace amaranth::state
