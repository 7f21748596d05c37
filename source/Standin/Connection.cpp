#include "Standin/Connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <cstdlib>
#include <filesystem>
#include <map>
#include <mutex>
#include <vector>

namespace amaranth::standin {

namespace {

using PortPair = std::pair<int, int>; ///< Remote and local port.

/// The ports of \p Descriptor, or zeros if it is not a connected IPv4 socket.
PortPair socketPorts(int Descriptor) {
  sockaddr_in Remote{};
  sockaddr_in Local{};
  socklen_t RemoteSize = sizeof(Remote);
  socklen_t LocalSize = sizeof(Local);
  if (getpeername(Descriptor, reinterpret_cast<sockaddr *>(&Remote),
                  &RemoteSize) != 0)
    return {0, 0};
  if (getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Local),
                  &LocalSize) != 0)
    return {0, 0};
  if (Remote.sin_family != AF_INET)
    return {0, 0};
  return {ntohs(Remote.sin_port), ntohs(Local.sin_port)};
}

std::vector<int> openDescriptors() {
  std::vector<int> Found;
  std::error_code ScanError;
  for (const auto &Entry :
       std::filesystem::directory_iterator("/proc/self/fd", ScanError))
    Found.push_back(std::atoi(Entry.path().filename().c_str()));
  return Found;
}

/// Caches descriptors by their ports, because a scan costs two system calls
/// for each open descriptor.
class DescriptorCache final {
public:
  int find(const PortPair &Ports) {
    std::lock_guard Lock(Mutex_);
    auto Cached = DescriptorsByPorts_.find(Ports);
    if (Cached != DescriptorsByPorts_.end() &&
        socketPorts(Cached->second) == Ports)
      return Cached->second;
    return rescan(Ports);
  }

private:
  int rescan(const PortPair &WantedPorts) {
    DescriptorsByPorts_.clear();
    for (int Descriptor : openDescriptors())
      DescriptorsByPorts_[socketPorts(Descriptor)] = Descriptor;
    auto Found = DescriptorsByPorts_.find(WantedPorts);
    return Found == DescriptorsByPorts_.end() ? -1 : Found->second;
  }

  std::mutex Mutex_;
  std::map<PortPair, int> DescriptorsByPorts_;
};

DescriptorCache &descriptorCache() {
  static DescriptorCache Cache;
  return Cache;
}

int portInHeader(const transport::HttpRequest &Request, const char *Header) {
  return std::atoi(Request.Headers_.get(Header).c_str());
}

} // namespace

Connection::Connection(const transport::HttpRequest &Request)
    : RemotePort_(portInHeader(Request, "REMOTE_PORT")),
      LocalPort_(portInHeader(Request, "LOCAL_PORT")) {}

int Connection::descriptor() {
  if (Descriptor_ < 0)
    Descriptor_ = descriptorCache().find({RemotePort_, LocalPort_});
  return Descriptor_;
}

bool Connection::closedByClient() {
  pollfd Poll{descriptor(), POLLRDHUP, 0};
  if (Poll.fd < 0)
    return true;
  return poll(&Poll, 1, 0) > 0;
}

void Connection::cut() {
  if (descriptor() >= 0)
    shutdown(Descriptor_, SHUT_RDWR);
}

void Connection::cutAll(int LocalPort) {
  for (int Descriptor : openDescriptors())
    if (socketPorts(Descriptor).second == LocalPort)
      shutdown(Descriptor, SHUT_RDWR);
}

} // namespace amaranth::standin
