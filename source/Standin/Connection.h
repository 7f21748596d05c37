/// \file
/// Access to the TCP connection of a request, which the HTTP library does not
/// expose.
#ifndef AMARANTH_STANDIN_CONNECTION_H
#define AMARANTH_STANDIN_CONNECTION_H

#include "Transport/HttpMessage.h"

namespace amaranth::standin {

/// Cuts the connection of a request, or detects that the client has closed it.
/// The HTTP library offers neither, so the socket is looked up among the
/// descriptors of this process by the port numbers that the library adds to
/// the headers. Valid only while the request is being served.
class Connection final {
public:
  explicit Connection(const transport::HttpRequest &Request);

  /// True once the client has closed the connection, or if its socket is not
  /// found.
  bool closedByClient();

  /// Closes the connection in both directions; later writes are discarded.
  void cut();

  /// Cuts every open connection that was accepted on \p LocalPort.
  static void cutAll(int LocalPort);

private:
  int descriptor();

  int RemotePort_;
  int LocalPort_;
  int Descriptor_ = -1;
};

} // namespace amaranth::standin

#endif
