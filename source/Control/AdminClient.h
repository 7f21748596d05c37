/// \file
/// Client of the daemons' operator interface.
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
  std::vector<std::string> Daemons_; ///< "ip:port", in the order to try.
  std::string OperatorKey_;
  SteadyTime Deadline_; ///< For the whole command.
};

/// A change of one service.
struct DocumentChange {
  std::string Method_ = "PUT"; ///< Or "DELETE".
  std::string Name_;
  std::uint64_t Revision_ = 0; ///< That it replaces; 0 to create.
  std::string ChangeId_;
  std::string Text_; ///< TOML; empty for DELETE.
};

/// The reply to a change.
struct ChangeReply {
  transport::HttpReply Reply_;
  /// An earlier attempt may have taken effect although its reply was lost.
  bool EarlierAttemptUnknown_ = false;
};

/// Calls the daemons in turn until one replies. Messages never contain the
/// operator key.
class AdminClient final {
public:
  explicit AdminClient(AdminClientSettings Settings);

  /// Reads from the first daemon that replies; a reply other than 200 is an
  /// error, NotFound for 404.
  Result<std::string> get(const std::string &Path);
  /// The same from the daemon at \p Address only.
  Result<std::string> getFrom(const std::string &Address,
                              const std::string &Path);

  /// Sends a change. After a lost reply it is repeated under the same change
  /// id until the deadline; Ambiguous if no reply came until then.
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

/// Declares the options from which readConnection() reads.
void declareConnection(OptionParser &Parser);

/// Daemons, key and deadline from the options and the environment;
/// InvalidArgument if one is missing or malformed.
Result<AdminClientSettings> readConnection(const CommandContext &Context);

/// The path of service \p Name; InvalidArgument if it is no service name.
Result<std::string> servicePath(const std::string &Name);

} // namespace amaranth::control

#endif
