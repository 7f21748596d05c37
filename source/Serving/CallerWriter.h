/// \file
/// Writes an answer to a caller without waiting for each read of the caller.
#ifndef AMARANTH_SERVING_CALLERWRITER_H
#define AMARANTH_SERVING_CALLERWRITER_H

#include "Serving/DeliveryLimit.h"
#include "Transport/ByteBudget.h"
#include "Transport/TcpLink.h"

#include <functional>
#include <memory>
#include <string>

namespace amaranth::serving {

/// Settings of CallerWriter.
struct CallerWriterSettings {
  /// Bytes of an answer that wait for one caller. A longer message is accepted
  /// when none wait.
  std::size_t MaxBufferedBytes_ = 256 * 1024;
  /// How often a caller for which bytes wait is checked.
  Milliseconds CheckPeriod_{500};
};

/// Buffers the part of an answer that the caller's connection does not take at
/// once, and writes it whenever the connection takes more, so that the source
/// of the answer is read meanwhile. A caller that exceeds the limit is given
/// up: its connection is reset, so that an incomplete answer never looks
/// complete. Used by one task.
class CallerWriter final : public std::enable_shared_from_this<CallerWriter> {
public:
  /// Buffered bytes count against \p Budget.
  CallerWriter(std::shared_ptr<transport::TcpLink> Caller,
               transport::ByteBudget &Budget, DeliveryLimit Limit,
               CallerWriterSettings Settings = {});

  /// Called once when the caller is given up or its connection breaks.
  void onFailure(std::function<void()> Callback) {
    OnFailure_ = std::move(Callback);
  }

  /// Appends \p Bytes to the answer. Waits only while they do not fit into the
  /// buffer or the budget.
  transport::Awaitable<transport::LinkStatus> write(std::string Bytes);
  /// Whether write() would return without waiting for the caller.
  bool hasRoom(std::size_t Bytes);
  /// Waits until the connection has taken all bytes.
  transport::Awaitable<transport::LinkStatus> finish();
  /// Discards the buffered bytes and ends waiting calls as Closed.
  void abandon();

  /// TimedOut if the caller was given up.
  transport::LinkStatus status() const { return Status_; }
  const DeliveryLimit &limit() const { return Limit_; }

private:
  std::size_t waitingBytes() const { return Buffer_.size() - Written_; }
  /// Writes what the connection takes now.
  void writeBuffered();
  void awaitWritable();
  void startChecks();
  void check();
  void fail(transport::LinkStatus Status);

  std::shared_ptr<transport::TcpLink> Caller_;
  transport::ByteReservation Held_;
  DeliveryLimit Limit_;
  CallerWriterSettings Settings_;
  boost::asio::steady_timer CheckTimer_;
  transport::Wakeup Progress_;
  std::function<void()> OnFailure_;
  std::string Buffer_;
  std::size_t Written_ = 0;        ///< Bytes of Buffer_ already written.
  std::uint64_t TotalWritten_ = 0; ///< Bytes that the connection has taken.
  bool AwaitsWritable_ = false;
  bool IsChecking_ = false;
  transport::LinkStatus Status_ = transport::LinkStatus::Ok;
};

} // namespace amaranth::serving

#endif
