#include "Protocol/PlatformStore.h"

namespace amaranth::protocol {

const char *toString(StoreStatus Status) {
  switch (Status) {
  case StoreStatus::Ok:
    return "ok";
  case StoreStatus::Unavailable:
    return "unavailable";
  case StoreStatus::Ambiguous:
    return "ambiguous";
  case StoreStatus::Compacted:
    return "compacted";
  case StoreStatus::EraChanged:
    return "era_changed";
  case StoreStatus::LeaseNotFound:
    return "lease_gone";
  case StoreStatus::Conflict:
    return "conflict";
  case StoreStatus::Invalid:
    return "invalid";
  }
  return "unknown";
}

} // namespace amaranth::protocol
