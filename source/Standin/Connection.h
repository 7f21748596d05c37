/// \file
/// The TCP connection of a request, below the HTTP library.
#ifndef AMARANTH_STANDIN_CONNECTION_H
#define AMARANTH_STANDIN_CONNECTION_H

#include "Transport/HttpMessage.h"

namespace amaranth::standin {

/// Cuts a request's connection or sees it closed. The HTTP library offers
/// neither, so the socket is found among the descriptors of this process by
/// the port numbers that the library adds to the headers. Valid only while the
/// request is being served.
class Connection final {
public:
  explicit Connection(const transport::HttpRequest &Request);

  /// True once the client has closed the connection.
  bool closed();

  /// Closes the connection in both directions; what is written later is lost.
  void cut();

  /// Cuts every connection accepted on \p LocalPort.
  static void cutAll(int LocalPort);

private:
  int descriptor();

  int RemotePort_;
  int LocalPort_;
  int Descriptor_ = -1;
};

} // namespace amaranth::standin

#endif
