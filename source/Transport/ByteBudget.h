/// \file
/// Limit for the bytes of messages that a process holds.
#ifndef AMARANTH_TRANSPORT_BYTEBUDGET_H
#define AMARANTH_TRANSPORT_BYTEBUDGET_H

#include <cstddef>

namespace amaranth::transport {

/// Counts the bytes of all messages that are being received or processed, so
/// that peers that send without end cannot exhaust the process's memory: a
/// limit for each message alone allows too much when many messages are large.
/// Used by the loop's thread only.
class ByteBudget final {
public:
  explicit ByteBudget(std::size_t Limit) : Limit_(Limit) {}

  std::size_t used() const { return Used_; }

private:
  friend class ByteReservation;

  std::size_t Limit_;
  std::size_t Used_ = 0;
};

/// The bytes that one message holds of a budget; returns them when it goes out
/// of scope. The budget must outlive it.
class ByteReservation final {
public:
  explicit ByteReservation(ByteBudget &Budget) : Budget_(Budget) {}
  ~ByteReservation() { Budget_.Used_ -= Bytes_; }
  ByteReservation(const ByteReservation &) = delete;
  ByteReservation &operator=(const ByteReservation &) = delete;

  /// Changes the reservation to \p Bytes. False, and no change, if the budget
  /// does not allow it.
  bool resize(std::size_t Bytes) {
    std::size_t Others = Budget_.Used_ - Bytes_;
    if (Bytes > Bytes_ && Others + Bytes > Budget_.Limit_)
      return false;
    Budget_.Used_ = Others + Bytes;
    Bytes_ = Bytes;
    return true;
  }

private:
  ByteBudget &Budget_;
  std::size_t Bytes_ = 0;
};

} // namespace amaranth::transport

#endif
