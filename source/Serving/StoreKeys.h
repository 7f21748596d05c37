/// \file
/// Keys of the product's records in the platform's store.
#ifndef AMARANTH_SERVING_STOREKEYS_H
#define AMARANTH_SERVING_STOREKEYS_H

#include <string>

namespace amaranth::serving {

/// \p Name as a part of a key: unchanged if it consists of letters, digits,
/// '.', '_' and '-', begins with a letter or digit and is not too long; a
/// digest otherwise.
std::string storeKeyPart(const std::string &Name);

} // namespace amaranth::serving

#endif
