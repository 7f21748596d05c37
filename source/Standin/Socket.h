/// \file
/// TCP sockets on loopback addresses, for the proxy.
#ifndef AMARANTH_STANDIN_SOCKET_H
#define AMARANTH_STANDIN_SOCKET_H

#include "Support/Error.h"
#include "Support/Time.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace amaranth::standin {

/// An IPv4 loopback address with a port.
struct SocketAddress {
  std::string Ip_ = "127.0.0.1";
  int Port_ = 0;
};

/// Parses "ip:port"; InvalidArgument unless it is a loopback address with a
/// port.
Result<SocketAddress> parseLoopback(std::string_view Text);

/// Owns a TCP socket. Calls block; shutdownBoth() from another thread ends a
/// blocked call.
class Socket final {
public:
  Socket() = default;
  explicit Socket(int Descriptor) : Descriptor_(Descriptor) {}
  Socket(Socket &&Other) noexcept;
  Socket &operator=(Socket &&Other) noexcept;
  ~Socket();

  /// Unavailable if the address cannot be bound.
  static Result<Socket> listenOn(const SocketAddress &Address);
  /// Unavailable if the connection cannot be established.
  static Result<Socket> connectTo(const SocketAddress &Address);

  bool valid() const { return Descriptor_ >= 0; }
  int descriptor() const { return Descriptor_; }
  int localPort() const;

  /// Waits for the next connection; invalid if this socket does not listen.
  Socket accept() const;
  /// Starts listening on the bound port, also after shutdownBoth().
  bool startListening() const;

  /// True once data, the end of the stream or an error can be read; false
  /// after \p Timeout.
  bool waitReadable(Milliseconds Timeout) const;
  /// Waits without a limit.
  void waitReadable() const;
  /// Returns the number of bytes read, 0 at the end of the stream, or a
  /// negative number on an error.
  std::ptrdiff_t read(char *Buffer, std::size_t Size) const;
  /// False if the connection was closed or reset.
  bool writeAll(std::string_view Data) const;

  void shutdownWrite() const;
  /// Closes a connection in both directions, or stops listening while keeping
  /// the port; the descriptor stays valid.
  void shutdownBoth() const;

private:
  static Result<Socket> bindTo(const SocketAddress &Address);

  int Descriptor_ = -1;
};

} // namespace amaranth::standin

#endif
