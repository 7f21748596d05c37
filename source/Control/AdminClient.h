/// \file
/// HTTP client of the daemons' operator interface.
#ifndef AMARANTH_CONTROL_ADMINCLIENT_H
#define AMARANTH_CONTROL_ADMINCLIENT_H

#include "Control/Command.h"
#include "Transport/HttpClient.h"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranth::control {

/// Settings of AdminClient.
struct AdminClientSettings {
  /// "ip:port", in the order in which they are tried.
  std::vector<std::string> Daemons_;
  std::string OperatorKey_;
  SteadyTime Deadline_; ///< For the whole command.
};

/// A change of one service.
struct DocumentChange {
  std::string Method_ = "PUT"; ///< Or "DELETE".
  std::string Name_;
  /// Revision that the change replaces; 0 to create the service.
  std::uint64_t ExpectedRevision_ = 0;
  std::string ChangeId_;
  std::string Text_; ///< TOML; empty for DELETE.
};

/// The reply that decided a change.
struct ChangeReply {
  transport::HttpReply Reply_;
  /// An earlier attempt may have taken effect: its reply was lost or left the
  /// outcome open.
  bool EarlierAttemptUnknown_ = false;
};

/// Tries the daemons in order until one replies. Error messages never contain
/// the operator key.
class AdminClient final {
public:
  explicit AdminClient(AdminClientSettings Settings);

  /// Reads \p Path from the first daemon that gives a reply below 500; any
  /// status but 200 is an error, NotFound for 404.
  Result<std::string> get(const std::string &Path);
  /// Like get(), but from the daemon at \p Address only.
  Result<std::string> getFrom(const std::string &Address,
                              const std::string &Path);

  /// Sends a change. If an attempt may have taken effect, repeats it under the
  /// same change id until a reply below 500 or the deadline; Ambiguous if the
  /// deadline comes first.
  Result<ChangeReply> change(const DocumentChange &Change);

  /// Sends \p Body to the daemon at \p Address only; a reply other than 2xx is
  /// an error.
  Result<void> send(const std::string &Address, const std::string &Method,
                    const std::string &Path, std::string Body);

  const AdminClientSettings &settings() const { return Settings_; }

private:
  transport::HttpCall makeCall(const std::string &Address,
                               const std::string &Method,
                               const std::string &Path) const;

  AdminClientSettings Settings_;
  transport::HttpClient Client_;
};

/// Declares the options that readConnectionSettings() reads.
void declareConnectionOptions(OptionParser &Parser);

/// Reads daemons, key and deadline from the options and the environment;
/// InvalidArgument if one is missing or malformed.
Result<AdminClientSettings>
readConnectionSettings(const CommandContext &Context);

/// The URL path of service \p Name; InvalidArgument if \p Name is not a valid
/// service name.
Result<std::string> servicePath(const std::string &Name);

} // namespace amaranth::control

#endif
